// Package dispatch chooses the endpoint for each attempt, by what it would cost the request to be served there, and
// learns from how the attempts went.
package dispatch
