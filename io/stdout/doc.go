// Package stdout writes logs without ever making their writer wait.
package stdout
