// Package draining tracks which failure domains are drained, as read from the platform's store.
package draining
