// Package engine is a stand-in for a model engine, with faults that tests can inject.
package engine
