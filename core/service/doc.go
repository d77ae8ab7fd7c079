// Package service describes a plain service and which of its calls must not be repeated.
package service
