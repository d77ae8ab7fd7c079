// Package command holds the command line, one file for each command.
package command
