// Package clientconn tracks client connections, records why each was closed, and never closes a connection as idle
// while a request is arriving on it.
package clientconn
