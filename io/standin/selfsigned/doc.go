// Package selfsigned makes certificates for servers on loopback, for tests.
package selfsigned
