// Package capacity measures the slopes from which docs/CAPACITY.md is worked out.
package capacity
