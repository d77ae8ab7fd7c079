// Package versionrecord describes what routers write down of the software versions of all services, so that routers that start
// after a loss of all others know which versions there were.
package versionrecord
