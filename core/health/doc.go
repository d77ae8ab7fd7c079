// Package health decides which endpoints may receive new requests, from their answers, failures and leaving marks.
package health
