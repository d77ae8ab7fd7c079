// Package bytebudget bounds the bytes that a process holds for peers that read or send slowly, and divides them among the
// connections.
package bytebudget
