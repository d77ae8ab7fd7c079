// Package decision keeps the reasons of the latest decisions, for people who ask why.
package decision
