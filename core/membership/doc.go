// Package membership decides which routers are alive, from the VM list, from what was heard and
// from rumours.
package membership
