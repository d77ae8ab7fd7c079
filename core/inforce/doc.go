// Package inforce folds release notes in offset order into the configuration in force.
package inforce
