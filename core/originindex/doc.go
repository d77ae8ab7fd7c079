// Package originindex keeps the origins of streams that were read from a log.
package originindex
