// Package versionlog writes the software versions of endpoints to a topic of the platform's store before streams begin at them,
// and reads what other routers have written there.
package versionlog
