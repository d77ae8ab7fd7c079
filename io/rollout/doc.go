// Package rollout sends load orders to engines under a lease, until they report that they have loaded the wanted
// versions.
package rollout
