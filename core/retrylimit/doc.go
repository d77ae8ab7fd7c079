// Package retryshare gives a router its share of the retries that all routers together may send to a service.
package retrylimit
