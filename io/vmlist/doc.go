// Package vmlist speaks to the platform's list of live and leaving VMs over HTTP.
package vmlist
