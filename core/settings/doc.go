// Package settings holds the checked settings of one router process, one file for each section.
package settings
