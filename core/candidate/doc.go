// Package candidate holds what is known of one endpoint when a request is placed.
package candidate
