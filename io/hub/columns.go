package hub

import (
	"errors"

	"savoryfall/core/fleetload"
)

// LoadColumns is the wire format of a list of loads. If the loads were encoded one by one, the codec would spend a byte
// on each field, and most fields are zero.
type LoadColumns struct {
	Endpoints []uint32
	Running   []int32
	Unread    []int32
	Bad       []float32
	All       []float32
	Hidden    []float32
}

// maxLoadRows limits the number of endpoints in one message.
const maxLoadRows = 1 << 16

var errLoadColumns = errors.New("the loads are not a table")

func toColumns(loads []fleetload.Load) (c LoadColumns) {
	for _, l := range loads {
		c.Endpoints = append(c.Endpoints, l.Endpoint)
		c.Running = append(c.Running, int32(l.Running))
		c.Unread = append(c.Unread, int32(l.PendingPromptTokens))
		c.Bad = append(c.Bad, l.Failures)
		c.All = append(c.All, l.Attempts)
		c.Hidden = append(c.Hidden, l.Untracked)
	}
	return c
}

func (c LoadColumns) rows() (rows []fleetload.Load, err error) {
	n := len(c.Endpoints)
	for _, m := range []int{len(c.Running), len(c.Unread), len(c.Bad), len(c.All), len(c.Hidden)} {
		if m != n || n > maxLoadRows {
			return nil, errLoadColumns
		}
	}
	rows = make([]fleetload.Load, n)
	for i := range rows {
		rows[i] = fleetload.Load{
			Endpoint: c.Endpoints[i], Running: int(c.Running[i]), PendingPromptTokens: int(c.Unread[i]),
			Failures: c.Bad[i], Attempts: c.All[i], Untracked: c.Hidden[i],
		}
	}
	return rows, nil
}
