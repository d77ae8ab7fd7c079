// Package desired holds the configuration that is in force, as read from the platform's store.
package storeconfig
