// Package engine is a small stand-in for a model engine, with switches for its faults.
package engine
