// Package vmlist is an HTTP client of the platform's VM list, which holds the live and the leaving VMs.
package vmlist
