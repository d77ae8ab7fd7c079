// Package endpoint describes an endpoint, a model engine or a plain service, as a release note
// lists it.
package endpoint
