package origins

import (
	"time"

	"savoryfall/core/origintable"
)

// serviceName is the name of the service in net/rpc.
const serviceName = "Origins"

// PutArgs are records for a router to keep. Field names are part of the wire format, because net/rpc sends them.
type PutArgs struct{ Records []origintable.Record }

// PutReply tells how many of the records were kept.
type PutReply struct{ Kept int }

// FindArgs asks for the record of a stream.
type FindArgs struct {
	Key uint64
	// Service is the service that the request is for, and Window how long ago the stream may have begun.
	Service string
	Window  time.Duration
}

// FindReply is the answer to FindArgs.
type FindReply struct {
	Found  bool
	Record origintable.Record
	// Only is the version of all endpoints that the service has had within the window, empty if that is not known.
	Only string
	// Proven says that Only rests on lists of endpoints and on records. Routers of earlier releases do not set it: they conclude
	// it from the starts of the endpoints that are listed.
	Proven bool
}

// Service is the RPC service that other routers call.
type Service struct{ keeper *Keeper }

// Put keeps records.
func (s *Service) Put(args *PutArgs, reply *PutReply) error {
	now := time.Now()
	for _, r := range args.Records {
		r.Remaining = min(r.Remaining, MaxRetention)
		if s.keeper.table.Put(r, now) {
			reply.Kept++
		}
	}
	return nil
}

// Find returns the record of a stream, if this router has it.
func (s *Service) Find(args *FindArgs, reply *FindReply) error {
	now := time.Now()
	reply.Record, reply.Found = s.keeper.table.Find(args.Key, now)
	reply.Only, reply.Proven = s.keeper.History.Only(args.Service, args.Window, now)
	return nil
}
