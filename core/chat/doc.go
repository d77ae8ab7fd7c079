// Package chat parses a chat completion request just far enough to place it.
package chat
