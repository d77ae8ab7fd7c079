// Package kernel starts, names and stops the services of one process.
package kernel
