// Package service describes a plain service and which of its calls may not be repeated.
package service
