// Package meter counts the bytes of control traffic where they pass, at the connection.
package meter
