// Package loadplan reads the plan of a load experiment.
package loadplan
