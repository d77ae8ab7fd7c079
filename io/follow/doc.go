// Package follow keeps a sink up to date with a topic in the platform's store that keeps the newest value of each
// key.
package follow
