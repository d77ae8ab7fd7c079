// Package endpoint sends HTTP requests to endpoints, and never sends one again without its caller's knowledge.
package endpoint
