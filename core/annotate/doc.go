// Package annotate adds context to the error that a function returns.
package annotate
