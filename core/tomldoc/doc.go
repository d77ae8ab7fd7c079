// Package tomldoc reads typed values from TOML documents and collects all errors, each with its file, line and key.
package tomldoc
