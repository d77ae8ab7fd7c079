// Package accountshare shares the capacity of overloaded services between the client accounts of the whole fleet.
package accountshare
