// Package registry keeps the directory of endpoints, as the platform's store tells it.
package registry
