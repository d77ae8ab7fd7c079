// Package procmemory tells how much memory another process holds, for tests.
package procmemory
