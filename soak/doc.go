// Package soak runs real router processes under randomized load and injected faults, and checks what clients and
// endpoints observe.
package soak
