// Package follow keeps a sink up to date with a compacted topic of the platform's store, which keeps the newest value
// of each key.
package follow
