package outputlength_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/outputlength"
)

// answers are the answers to one kind of request, of which hints tell more or less.
type answers struct {
	random *rand.Rand
	// events is the median of the events, spread the standard deviation of their logarithms.
	events, spread float64
	// hintError is the standard deviation of the logarithm of the hint over the tokens, negative for hints that have nothing to do with
	// the answer. Of the hints, missing is the share that is left out.
	hintError, missing float64
	tokensPerEvent     float64
}

func (a *answers) next() (hint, events int) {
	log := math.Log(a.events) + a.spread*a.random.NormFloat64()
	events = max(int(math.Round(math.Exp(log))), 1)
	about, deviation := float64(events), a.hintError
	if a.hintError < 0 {
		about, deviation = a.events, -a.hintError
	}
	hint = max(int(about*a.tokensPerEvent*math.Exp(deviation*a.random.NormFloat64())), 1)
	if a.random.Float64() < a.missing {
		hint = 0
	}
	return hint, events
}

// errors returns the mean squared errors of logarithms: of the prediction, of the kind's median, and of the hint in events.
func (a *answers) errors(p *outputlength.Predictor) (predicted, median, hinted float64) {
	const n = 2000
	for range n {
		hint, events := a.next()
		predicted += square(p.Predict("chat", hint)/float64(events)) / n
		median += square(a.events/float64(events)) / n
		hinted += square(float64(hint)/a.tokensPerEvent/float64(events)) / n
	}
	return predicted, median, hinted
}

func square(ratio float64) float64 { return math.Log(ratio) * math.Log(ratio) }

func observe(p *outputlength.Predictor, a *answers, n int) {
	for range n {
		hint, events := a.next()
		p.Observe("chat", hint, events)
	}
}

func newAnswers(hintError float64) *answers {
	return &answers{random: rand.New(rand.NewPCG(1, 1)), events: 40, spread: 0.8, hintError: hintError, tokensPerEvent: 8}
}

// Guards against a hint that counts for more or for less than it tells: the prediction is better than the hint and than the kind's median
// where each tells something, and hardly worse than the median where the hint tells nothing.
func TestHintCountsForWhatItTells(t *testing.T) {
	for name, c := range map[string]struct{ hintError, maxPredicted float64 }{
		// The best possible squared error is 1/(1/spread^2 + 1/hintError^2).
		"good":                         {hintError: 0.1, maxPredicted: 0.02},
		"right at the median, far off": {hintError: 1, maxPredicted: 1.1 / (1/0.64 + 1)},
		"off by more than the answers": {hintError: 2, maxPredicted: 1.1 / (1/0.64 + 0.25)},
		"useless":                      {hintError: -1, maxPredicted: 1.05 * 0.64},
	} {
		t.Run(name, func(t *testing.T) {
			var p outputlength.Predictor
			a := newAnswers(c.hintError)
			observe(&p, a, 1000)
			predicted, median, hinted := a.errors(&p)
			t.Logf("squared error: predicted %.3f, median %.3f, hint %.3f", predicted, median, hinted)
			assert.Assert(t, predicted < c.maxPredicted)
		})
	}
}

// Guards against predictions that need a hint: without one they are the kind's median, and hints of some requests do not disturb them.
func TestMissingHints(t *testing.T) {
	for _, missing := range []float64{0.5, 1} {
		var p outputlength.Predictor
		a := newAnswers(0.3)
		a.missing = missing
		observe(&p, a, 1000)
		got := p.Predict("chat", 0)
		assert.Assert(t, got > 33 && got < 48, "%v", got)
	}
}

// Guards against nonsense hints that change anything but a counter, and against valid ones far off that decide alone.
func TestNonsenseHints(t *testing.T) {
	var p, clean outputlength.Predictor
	a := newAnswers(0.1)
	for range 1000 {
		hint, events := a.next()
		clean.Observe("chat", hint, events)
		p.Observe("chat", hint, events)
		p.Observe("other", -hint, events)
		p.Observe("other", math.MaxInt64, events)
	}
	assert.Equal(t, p.InvalidHints(), uint64(2000))
	assert.Equal(t, clean.InvalidHints(), uint64(0))
	assert.Assert(t, math.Abs(math.Log(p.Predict("chat", 320)/clean.Predict("chat", 320))) < 0.05, "%v, %v", p.Predict("chat", 320), clean.Predict("chat", 320))
	assert.Equal(t, p.Predict("chat", -5), p.Predict("chat", 0))
	assert.Equal(t, p.Predict("chat", 1_000_001), p.Predict("chat", 0))
	for i := range 300 {
		hint, events := a.next()
		if i%20 == 0 {
			hint = 1_000_000
		}
		clean.Observe("chat", hint, events)
	}
	predicted, _, _ := a.errors(&clean)
	assert.Assert(t, predicted < 0.64/2, "%v", predicted)
	assert.Assert(t, clean.Predict("chat", 1_000_000) < 40*25, "%v", clean.Predict("chat", 1_000_000))
}

// Guards against a new router that trusts a hint of which it does not know the unit, and a new kind that begins with nothing although
// others have shown what a hint means.
func TestNewRouterAndNewKind(t *testing.T) {
	var p outputlength.Predictor
	assert.Equal(t, p.Predict("chat", 5000), 0.0)
	assert.Equal(t, p.TokensPerEvent(), 0.0)
	p.Observe("chat", 0, 0)
	assert.Equal(t, p.Predict("chat", 0), 0.0)
	p.Observe("chat", 0, 40)
	assert.Equal(t, math.Round(p.Predict("chat", 5000)), 40.0)
	observe(&p, newAnswers(0.1), 500)
	assert.Assert(t, math.Abs(p.TokensPerEvent()-8) < 0.5, "%v", p.TokensPerEvent())
	for hint, want := range map[int]float64{0: 40, 80: 10, 1600: 200} {
		got := p.Predict("new", hint)
		assert.Assert(t, got > want*0.75 && got < want*1.33, "hint %d: %v, want about %v", hint, got, want)
	}
}

// Guards against a kind whose events are always the same in number, and hints that are all alike.
func TestConstantAnswers(t *testing.T) {
	var p outputlength.Predictor
	for range 100 {
		p.Observe("short", 16, 2)
		p.Observe("long", 0, 200)
	}
	assert.Assert(t, math.Abs(p.Predict("short", 16)-2) < 0.1, "%v", p.Predict("short", 16))
	assert.Assert(t, math.Abs(p.Predict("long", 0)-200) < 10, "%v", p.Predict("long", 0))
	assert.Assert(t, p.Spread("short") < 0.01)
	assert.Assert(t, p.Spread("other") > 1)
}

// Guards against an answer length that is kept after it has changed.
func TestChangedLengthsAreFollowed(t *testing.T) {
	var p outputlength.Predictor
	a := newAnswers(0.3)
	observe(&p, a, 2000)
	a.events = 160
	observe(&p, a, 600)
	got := p.Predict("chat", 0)
	assert.Assert(t, got > 120 && got < 200, "%v", got)
}

// Guards against memory that grows with the names of routes, and a busy kind that goes in favour of others that come and go.
func TestLeastRecentlyUsedKindGoes(t *testing.T) {
	var p outputlength.Predictor
	for range 100 {
		p.Observe("busy", 0, 1000)
		p.Observe("asked for", 0, 1000)
		p.Observe("idle", 0, 1000)
	}
	for i := range 1000 {
		p.Observe(fmt.Sprint(i), 0, 1)
		p.Observe("busy", 0, 1000)
		p.Predict("asked for", 0)
	}
	assert.Assert(t, p.Predict("busy", 0) > 900)
	assert.Assert(t, p.Predict("asked for", 0) > 800, "%v", p.Predict("asked for", 0))
	assert.Assert(t, p.Predict("idle", 0) < 100, "%v", p.Predict("idle", 0))
	assert.Assert(t, p.Predict("999", 0) < 10, "%v", p.Predict("999", 0))
	assert.Assert(t, p.Predict("745", 0) > p.Predict("746", 0), "%v, %v", p.Predict("745", 0), p.Predict("746", 0))
}

func BenchmarkObserve(b *testing.B) {
	var p outputlength.Predictor
	for i := range b.N {
		p.Observe("chat", 300+i%100, 40+i%10)
	}
}

// Each observation is of a new kind, so that another one goes.
func BenchmarkObserveNewKind(b *testing.B) {
	var p outputlength.Predictor
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := range b.N {
		p.Observe(names[i%len(names)], 300, 40)
	}
}

func BenchmarkPredict(b *testing.B) {
	var p outputlength.Predictor
	observe(&p, newAnswers(0.3), 1000)
	sum := 0.0
	for i := range b.N {
		sum += p.Predict("chat", 300+i%100)
	}
	assert.Assert(b, sum > 0)
}
