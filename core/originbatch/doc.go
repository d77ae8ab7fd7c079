// Package originbatch is the format in which routers append where streams began to a log.
//
// A batch is a byte with the version of the format; the distinct endpoints, each with service, software version, id and start of
// its process; the records, each with a key, the number of its endpoint and when the request was sent; and a checksum.
package originbatch
