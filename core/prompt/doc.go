// Package prompt describes a prompt as a chain of parts that requests share.
package prompt
