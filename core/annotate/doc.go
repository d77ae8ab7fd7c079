// Package annotate adds to an error, once and on the way out, what was being done.
package annotate
