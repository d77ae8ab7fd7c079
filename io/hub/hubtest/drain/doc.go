// Package drain tests drained failure domains.
package drain
