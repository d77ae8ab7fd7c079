// Package ledger estimates the load of every endpoint from endpoint reports, this router's own requests and the digests
// of its peers.
package ledger
