// Package command implements the command line; each subcommand has its own file.
package command
