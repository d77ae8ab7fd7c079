// Package routerset runs routers as processes.
package routerset
