// Package follow keeps up with a topic of the platform's store that holds the newest value of each key.
package follow
