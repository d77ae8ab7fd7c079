// Package account describes a client account as a release note lists it.
package account
