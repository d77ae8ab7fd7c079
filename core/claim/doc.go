// Package claim applies claims and outcomes in log order, so that the order of the log decides which attempt may send a
// call.
package claim
