// Package drainoutage tests drained failure domains while the store refuses calls.
package drainoutage
