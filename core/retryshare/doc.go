// Package retryshare gives a router its part of the retries that all routers together may send to a service.
package retryshare
