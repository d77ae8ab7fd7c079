// Package activeconfig computes the active configuration by applying release notes in log offset order.
package activeconfig
