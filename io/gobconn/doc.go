// Package gobconn limits what connections of net/rpc may take that do not come from known peers: their number, and the messages of
// encoding/gob that they send, which a decoder would hold at any size.
package gobconn
