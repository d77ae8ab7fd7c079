// Package version describes the versions and adapters of models.
package version
