// Package endpoint speaks HTTP to endpoints so that no request is ever sent twice unseen.
package endpoint
