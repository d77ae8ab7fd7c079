// Package operator serves operators: status, explanations, the configuration in force and metrics.
package operator
