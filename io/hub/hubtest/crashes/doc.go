// Package crashes tests what fleets know of requests that crash endpoints.
package crashes
