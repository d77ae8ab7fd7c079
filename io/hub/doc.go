// Package hub lets one router at a time read the store for all, and collects what each knows of the endpoints.
package hub
