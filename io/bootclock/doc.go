// Package bootclock reads the operating system's clock that keeps running while the VM is suspended.
package bootclock
