// Package overflow tracks which chats overflowed: they have their prefix cached on another endpoint than the
// highest-ranked one for their key.
package overflow
