// Package hub lets a few routers read the store on behalf of the whole fleet, and exchanges between routers what each
// knows of endpoints and their load.
//
// Routers form a tree: each reports to one hub over net/rpc, and a hub reports to a hub of its own, up to the root,
// which has none. Replies carry what changed since the previous reply. When a hub cannot read the store, it asks some
// of the routers that report to it to read instead.
package hub
