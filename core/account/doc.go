// Package account describes a client account as listed in a release note.
package account
