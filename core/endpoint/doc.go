// Package endpoint describes an endpoint, which is a model engine or a process of a plain service, as listed in a
// release note.
package endpoint
