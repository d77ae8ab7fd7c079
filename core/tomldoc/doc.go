// Package tomldoc reads TOML by key and collects every fault with its file, line and key.
package tomldoc
