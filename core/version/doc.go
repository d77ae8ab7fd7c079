// Package version describes a model with its versions and adapters.
package version
