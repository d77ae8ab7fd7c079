// Package desired keeps the configuration in force, as the platform's store tells it.
package desired
