// Package vmservice is a stand-in for the platform's list of VMs, which may lag behind.
package vmservice
