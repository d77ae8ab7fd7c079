// Package candidate holds what the placement of a request knows of one endpoint.
package candidate
