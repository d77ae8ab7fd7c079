// Package connbudget bounds the connections that a process holds for its clients, by their memory and by their descriptors, and
// decides which of them is closed when another one needs its place.
package connbudget
