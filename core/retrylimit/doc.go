// Package retrylimit limits the retries that all routers together send to a service by giving each router a share of
// them.
package retrylimit
