// Package traffic counts the bytes and calls of control traffic, per kind and at the connection.
package traffic
