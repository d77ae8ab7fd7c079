package connbudget_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/connbudget"
)

const (
	connectionBytes = 24 << 10
	servingBytes    = 40 << 10
)

// fleet opens connections of a budget and records which of them are closed for others.
type fleet struct {
	budget connbudget.Budget
	open   map[string]*connbudget.Connection
	closed []string
	// keep are the connections that can't be closed.
	keep map[string]bool
}

func newFleet(bytes int64, descriptors int) *fleet {
	f := &fleet{open: map[string]*connbudget.Connection{}, keep: map[string]bool{}}
	f.budget.SetLimits(bytes, descriptors)
	return f
}

// connect opens a connection, and reports whether there was a place.
func (f *fleet) connect(name string) (ok bool) {
	c := f.budget.Open(func(connbudget.State) bool {
		if f.keep[name] {
			return false
		}
		f.closed = append(f.closed, name)
		return true
	})
	f.open[name] = c
	return c != nil
}

// Guards against connections that carry nothing, or are late, and keep out others, and against closing one that is used before these.
func TestOthersPlaceIsTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, 6)
		for name, s := range map[string]connbudget.State{"lingering": connbudget.Lingering, "idle": connbudget.Idle, "reading": connbudget.Reading, "silent": connbudget.Silent, "serving": connbudget.Serving} {
			assert.Assert(t, f.connect(name))
			f.open[name].SetState(s)
		}
		time.Sleep(time.Second)
		for _, name := range []string{"a", "b", "c", "d"} {
			f.keep[name] = true
			assert.Assert(t, f.connect(name))
		}
		assert.DeepEqual(t, f.closed, []string{"lingering", "silent", "reading", "idle"})
		assert.Assert(t, !f.connect("e"), "a connection in use was closed")
	})
}

// Guards against a crowd that connects so fast that clients which have just connected are closed before they could send, while others
// have been unused for longer.
func TestYoungConnectionsAreClosedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, 3)
		assert.Assert(t, f.connect("idle"))
		f.open["idle"].SetState(connbudget.Idle)
		time.Sleep(time.Second)
		assert.Assert(t, f.connect("silent") && f.connect("new") && f.connect("newest"))
		assert.DeepEqual(t, f.closed, []string{"idle"})
		assert.Assert(t, f.connect("one more"))
		assert.DeepEqual(t, f.closed, []string{"idle", "silent"})
	})
}

// A connection on which a request has just arrived can't be closed, and another one is.
func TestConnectionWithARequestIsPassedOver(t *testing.T) {
	f := newFleet(0, 2)
	f.keep["a"] = true
	assert.Assert(t, f.connect("a") && f.connect("b") && f.connect("c"))
	assert.DeepEqual(t, f.closed, []string{"b"})
}

// Guards against connections that are many while they are idle, and take more than all may when each brings a request.
func TestRequestsTakeThePlacesOfIdleConnections(t *testing.T) {
	f := newFleet(8*connectionBytes+2*servingBytes, 0)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, name := range names {
		assert.Assert(t, f.connect(name))
		f.open[name].SetState(connbudget.Idle)
	}
	served := 0
	for _, name := range names {
		if !slices.Contains(f.closed, name) && f.open[name].Serve() {
			served++
		}
	}
	held, size, open, _ := f.budget.Usage()
	assert.Assert(t, held <= size)
	assert.Equal(t, served, 4)
	assert.Equal(t, open, 4)
}

// Guards against large heads that keep small ones out, and a single one within the limits that is refused for others' sake.
func TestSmallHeadsFindRoomBesideLargeOnes(t *testing.T) {
	f := newFleet(100*connectionBytes, 0)
	large := 0
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		assert.Assert(t, f.connect(name))
		if f.open[name].GrowHead(16<<10, 2000) {
			large++
		}
		f.open[name].SetState(connbudget.Serving)
	}
	assert.Equal(t, large, 2)
	for _, name := range []string{"u", "v", "w", "x", "y", "z"} {
		assert.Assert(t, f.connect(name))
		assert.Assert(t, f.open[name].GrowHead(12<<10, 20))
		f.open[name].SetState(connbudget.Serving)
	}
	assert.Equal(t, len(f.closed), 0)
}

// Whatever connections do, what is counted is what they hold, no more than the limits, and nothing once all are closed.
func TestCountsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bytes, descriptors = 20 * connectionBytes, 12
		f := newFleet(bytes, descriptors)
		var conns []*connbudget.Connection
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(conns) == 0 || rapid.IntRange(0, 2).Draw(t, "connect") == 0 {
				keep := rapid.Bool().Draw(t, "keep")
				c := f.budget.Open(func(connbudget.State) bool { return !keep })
				if c != nil {
					conns = append(conns, c)
				}
			} else {
				c := rapid.SampledFrom(conns).Draw(t, "connection")
				switch rapid.IntRange(0, 4).Draw(t, "act") {
				case 0:
					c.Close()
				case 1:
					c.GrowHead(rapid.IntRange(0, 32<<10).Draw(t, "bytes"), rapid.IntRange(0, 1000).Draw(t, "lines"))
				case 2:
					c.Serve()
				default:
					c.SetState(rapid.SampledFrom([]connbudget.State{connbudget.Silent, connbudget.Reading, connbudget.Idle, connbudget.Lingering}).Draw(t, "state"))
				}
			}
			held, _, open, _ := f.budget.Usage()
			used, _ := f.budget.Descriptors()
			serving := used - open
			assert.Assert(t, serving >= 0 && serving <= open)
			assert.Assert(t, open <= descriptors)
			assert.Assert(t, held >= int64(open*connectionBytes+serving*servingBytes))
			assert.Assert(t, held <= bytes && used <= descriptors)
		}
		for _, c := range conns {
			c.Close()
		}
		held, _, open, _ := f.budget.Usage()
		used, _ := f.budget.Descriptors()
		assert.Assert(t, held == 0 && open == 0 && used == 0)
	})
}

// Guards against handshakes that are held beyond the memory, or that are counted after their connection is closed.
func TestLongHandshakesAreCounted(t *testing.T) {
	const secureBytes, record, message = 24 << 10, 16 << 10, 64 << 10
	f := newFleet(600<<10, 0)
	f.budget.SetSecure()
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, f.connect(name))
		assert.Assert(t, f.open[name].GrowHandshake(record))
	}
	held, _, _, _ := f.budget.Usage()
	assert.Equal(t, held, int64(3*(connectionBytes+secureBytes)))
	assert.Assert(t, f.open["a"].GrowHandshake(message))
	assert.Assert(t, f.open["b"].GrowHandshake(message))
	assert.Assert(t, !f.open["c"].GrowHandshake(message))
	held, _, _, _ = f.budget.Usage()
	assert.Assert(t, held > 2*3*(message-record)-4*record && held <= 600<<10)
	f.open["a"].SetState(connbudget.Idle)
	assert.Assert(t, !f.open["c"].GrowHandshake(message))
	for _, c := range f.open {
		c.Close()
	}
	held, _, _, _ = f.budget.Usage()
	assert.Equal(t, held, int64(0))
}
