// Package ticket seals where a chat is warm into a hint that the caller brings back.
package ticket
