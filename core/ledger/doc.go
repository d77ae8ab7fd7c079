// Package ledger keeps the expected load of every endpoint from reports, own requests and peers'
// digests.
package ledger
