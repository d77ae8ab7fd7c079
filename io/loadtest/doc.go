// Package loadtest runs a load test against an embedded fleet as a plan describes it, and reports cache reuse, load
// skew between engines, latencies and control traffic.
package loadtest
