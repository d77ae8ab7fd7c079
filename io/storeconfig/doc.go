// Package storeconfig tracks the configuration in force, as read from the platform's store.
package storeconfig
