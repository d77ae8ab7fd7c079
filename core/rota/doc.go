// Package rota decides which routers read the store for a hub that cannot.
package rota
