// Package directory keeps the endpoints that have registered themselves, and knows which of them may take new work.
package directory
