// Package lifecycle starts and stops the services of one process, and looks them up by name.
package lifecycle
