// Package dispatch chooses the endpoint for each attempt by the estimated cost of serving the request there, and
// learns from how the attempts end.
package dispatch
