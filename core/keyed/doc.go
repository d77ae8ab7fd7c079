// Package keyed holds the records of a log that keeps the newest value of each key.
package keyed
