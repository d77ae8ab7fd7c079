// Package settings parses and validates the settings of a router process. Each section has its own file.
package settings
