// Package loadplan parses the plan of a load test.
package loadplan
