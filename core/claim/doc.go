// Package claim folds claims and outcomes in offset order, so that the order of the log decides
// who may send a call.
package claim
