// Package chat reads a chat completion request just far enough to place it.
package chat
