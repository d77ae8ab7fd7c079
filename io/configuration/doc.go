// Package configuration follows the configuration on the platform's log and keeps what is in force.
package configuration
