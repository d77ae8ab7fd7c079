// Package directory keeps the endpoints that have registered themselves and determines which of them may be given
// new requests.
package directory
