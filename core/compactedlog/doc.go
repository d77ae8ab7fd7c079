// Package compactedlog defines the records of a log that is compacted by key: the log keeps the newest value of each
// key.
package compactedlog
