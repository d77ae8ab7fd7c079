package retryafter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/retryafter"
)

// A surge lasts eight seconds and one client in five is admitted. Clients try twice. When all retried after 200 ms,
// a client that was refused once was refused twice. With a delay as long as the surge has lasted, clients that are
// refused in its second half must retry after its end.
func TestDelaysOutlastASurge(t *testing.T) {
	const surge, patience, goal = 8 * time.Second, 15 * time.Second, 800 * time.Millisecond
	outlasted := 0
	for at := time.Duration(0); at < surge; at += 100 * time.Millisecond {
		if at+retryafter.Delay(at, goal, patience, 0.5) >= surge {
			outlasted++
		}
	}
	assert.Assert(t, outlasted >= 40, "%d of 80", outlasted)
}

func TestDelay(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		full, goal, left time.Duration
		draw             float64
		want             time.Duration
	}{
		"a service that has just filled up leaves time to be served on time": {0, s, 15 * s, 0.5, s / 2},
		"no goal":                              {0, 0, 15 * s, 0.5, 200 * time.Millisecond},
		"as long as the service has been full": {3 * s, s, 15 * s, 0.5, 3 * s},
		"jitter":                               {4 * s, s, 30 * s, 0, 3 * s},
		"a client with little time left":       {3 * s, s, 3 * s, 0.5, s},
		"a client whose time has run out":      {3 * s, s, -s, 0.5, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, retryafter.Delay(c.full, c.goal, c.left, c.draw), c.want) })
	}
}
