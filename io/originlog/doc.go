// Package originlog appends where streams began to a log in the platform's store, and reads there what no router remembers.
//
// What is in the log is true for good: a record is appended only once its stream's first event is about to be forwarded. So
// records may be lost, late, repeated or read in part: a stream whose record is missing is refused.
package originlog
