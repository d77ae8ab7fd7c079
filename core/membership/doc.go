// Package membership decides which routers are alive, from the VM list, direct contact and gossip.
package membership
