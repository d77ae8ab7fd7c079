// Package state tests what fleets know of endpoints, accounts and retries.
package state
