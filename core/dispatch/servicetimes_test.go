package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against estimates that are off because endpoints are busy most of the time, or because one of three endpoints takes ten times
// as long: neither changes what the work takes at ease.
func TestTimeAtEase(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var d Dispatcher
	assert.Equal(t, d.eventTime("models"), defaultEventTime)
	assert.Equal(t, d.plainTime("models"), defaultPlainTime)
	times := d.timesOf("models")
	for range 5000 {
		took := time.Duration((0.9 + 0.2*r.Float64()) * float64(40*time.Millisecond))
		if r.IntN(3) == 0 {
			took *= 10
		}
		times.event.observe(took, true)
		times.event.observe(2*took, false)
	}
	assert.Assert(t, d.eventTime("models") > 34*time.Millisecond && d.eventTime("models") < 46*time.Millisecond, "%v", d.eventTime("models"))
}

// Guards against a router that learns nothing while all endpoints are busy, and one that keeps their times once it knows better.
func TestTimeAtEaseOfBusyService(t *testing.T) {
	var w workTime
	for range 100 {
		w.observe(80*time.Millisecond, false)
	}
	assert.Assert(t, w.atEase.or(0) > 60*time.Millisecond, "%v", w.atEase.or(0))
	for range 300 {
		w.observe(40*time.Millisecond, true)
	}
	assert.Assert(t, w.atEase.or(0) < 45*time.Millisecond, "%v", w.atEase.or(0))
}

func BenchmarkObserveTime(b *testing.B) {
	var w workTime
	for i := range b.N {
		w.observe(time.Duration(i%40+1)*time.Millisecond, true)
	}
}
