// Package spills tracks which chats have their prefix cached on another endpoint than the highest-ranked one for their
// key.
package overflow
