// Package configuration follows the configuration stream of the platform's log and holds the configuration in force.
package configuration
