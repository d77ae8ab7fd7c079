// Package registry keeps the directory of endpoints up to date with the platform's store.
package registry
