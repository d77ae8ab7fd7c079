// Package board is what a hub knows of the routers that report to it, and what it tells them of each other.
package board
