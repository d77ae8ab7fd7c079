// Package admission limits the requests in flight per pool. When a pool is full, it queues requests and shares the
// capacity between client accounts by weight.
package admission
