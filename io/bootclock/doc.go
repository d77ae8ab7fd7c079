// Package bootclock reads the kernel's clock that runs on while the VM is suspended.
package bootclock
