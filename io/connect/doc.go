// Package connect opens connections to endpoints.
package connect
