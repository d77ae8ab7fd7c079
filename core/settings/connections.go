package settings

import "savoryfall/core/tomldoc"

// Connections holds what the connections to an address may take of the VM, of the section clients, callers or peers.
type Connections struct {
	memoryShare     float64
	descriptorShare float64
}

// readConnections reads the shares for clients, who take most of both.
func readConnections(t *tomldoc.Table) Connections { return readShares(t, 0.2, 0.55) }

// readPeerConnections reads the shares for hosts that are not known as routers.
func readPeerConnections(t *tomldoc.Table) Connections { return readShares(t, 0.05, 0.1) }

func readShares(t *tomldoc.Table, memory, descriptors float64) (c Connections) {
	c.memoryShare = t.Float("memoryShare", memory, 0.01, 0.5)
	c.descriptorShare = t.Float("descriptorShare", descriptors, 0.01, 0.9)
	return c
}

// unknownMemoryMB is the memory in MB by which connections are bounded if that of the VM is not known.
const unknownMemoryMB = 512

// Bytes returns the memory in bytes that the connections may take on the VM.
func (c Connections) Bytes(vm VM) int64 {
	mb := vm.memoryMB
	if mb == 0 {
		mb = unknownMemoryMB
	}
	return int64(c.memoryShare * mb * (1 << 20))
}

// idleShare is the share of the descriptors that idle connections to endpoints may take.
const idleShare = 0.1

// MaxIdle returns how many idle connections to endpoints the VM may have, if the process may have ofProcess descriptors and the settings
// of the VM don't state another number.
func (v VM) MaxIdle(ofProcess int) int { return int(idleShare * float64(v.maxDescriptors(ofProcess))) }

func (v VM) maxDescriptors(ofProcess int) int {
	if v.descriptors > 0 {
		return int(v.descriptors)
	}
	return ofProcess
}

// Descriptors returns the number of descriptors that the connections may take, together with those that serve their requests, if the
// process may have ofProcess of them and the settings of the VM don't state another number.
func (c Connections) Descriptors(vm VM, ofProcess int) int {
	return int(c.descriptorShare * float64(vm.maxDescriptors(ofProcess)))
}
