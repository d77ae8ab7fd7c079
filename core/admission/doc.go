// Package admission lets requests into a pool in their turn, sharing it by weight between client
// accounts when it is full.
package admission
