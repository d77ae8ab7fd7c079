package hub

import (
	"errors"

	"savoryfall/core/board"
)

// Columns are loads as they are sent: the codec spends a byte on each field of each row otherwise, and most fields are zero.
type Columns struct {
	Endpoints []uint32
	Running   []int32
	Unread    []int32
	Bad       []float32
	All       []float32
	Hidden    []float32
}

// mostLoads bounds how many endpoints a message may tell of.
const mostLoads = 1 << 16

var errColumns = errors.New("the loads are not a table")

func columns(loads []board.Load) (c Columns) {
	for _, l := range loads {
		c.Endpoints = append(c.Endpoints, l.Endpoint)
		c.Running = append(c.Running, int32(l.Running))
		c.Unread = append(c.Unread, int32(l.Unread))
		c.Bad = append(c.Bad, l.Bad)
		c.All = append(c.All, l.All)
		c.Hidden = append(c.Hidden, l.Hidden)
	}
	return c
}

func (c Columns) loads() (loads []board.Load, err error) {
	n := len(c.Endpoints)
	for _, m := range []int{len(c.Running), len(c.Unread), len(c.Bad), len(c.All), len(c.Hidden)} {
		if m != n || n > mostLoads {
			return nil, errColumns
		}
	}
	loads = make([]board.Load, n)
	for i := range loads {
		loads[i] = board.Load{
			Endpoint: c.Endpoints[i], Running: int(c.Running[i]), Unread: int(c.Unread[i]),
			Bad: c.Bad[i], All: c.All[i], Hidden: c.Hidden[i],
		}
	}
	return loads, nil
}
