package outputlength

import "math"

const (
	// maxKinds bounds the kinds of request that are remembered.
	maxKinds = 256
	// maxHint is the largest hint that is taken seriously, in tokens.
	maxHint = 1_000_000
)

// Predictor learns how many events answers have. The zero value knows nothing. It is not safe for concurrent use.
type Predictor struct {
	kinds map[string]*kind
	// all is what all kinds have in common, which a new kind begins with.
	all lengths
	// uses counts the uses of kinds, by which the least recently used one is found.
	uses         uint64
	invalidHints uint64
}

type kind struct {
	lengths
	usedAt uint64
}

// Observe takes the number of events of a complete answer. A hint of 0 is none.
func (p *Predictor) Observe(kind string, hint, events int) {
	if hint < 0 || hint > maxHint {
		p.invalidHints++
	}
	if events <= 0 {
		return
	}
	logHint, hinted := logOfHint(hint)
	logEvents := math.Log(float64(events))
	p.all.observe(logEvents, logHint, hinted)
	p.kind(kind).observe(logEvents, logHint, hinted)
}

// Predict returns the median of the events that are expected, 0 if none were observed of any kind.
func (p *Predictor) Predict(kind string, hint int) (events float64) {
	if p.all.count == 0 {
		return 0
	}
	logHint, hinted := logOfHint(hint)
	k := p.kinds[kind]
	if k == nil {
		return math.Exp(p.all.predict(logHint, hinted, &p.all))
	}
	p.use(k)
	return math.Exp(k.predict(logHint, hinted, &p.all))
}

// Spread returns the standard deviation of the logarithms of the kind's events, that of all kinds for an unknown one.
func (p *Predictor) Spread(kind string) float64 {
	if k := p.kinds[kind]; k != nil {
		return math.Sqrt(k.variance)
	}
	return math.Sqrt(p.all.variance)
}

// TokensPerEvent returns the median number of tokens of an event, as far as hints tell, 0 if there were none.
func (p *Predictor) TokensPerEvent() float64 {
	if p.all.hinted == 0 {
		return 0
	}
	return max(math.Exp(p.all.hints-p.all.hintedEvents), 1)
}

// InvalidHints returns how many hints were ignored because they were negative or too large.
func (p *Predictor) InvalidHints() uint64 { return p.invalidHints }

func logOfHint(hint int) (log float64, hinted bool) {
	if hint <= 0 || hint > maxHint {
		return 0, false
	}
	return math.Log(float64(hint)), true
}

// kind returns what is known of a kind, and forgets the least recently used one if it is a new one too many.
func (p *Predictor) kind(name string) *kind {
	k := p.kinds[name]
	if k == nil {
		if p.kinds == nil {
			p.kinds = map[string]*kind{}
		}
		if len(p.kinds) >= maxKinds {
			delete(p.kinds, p.leastRecentlyUsed())
		}
		k = &kind{}
		p.kinds[name] = k
	}
	p.use(k)
	return k
}

func (p *Predictor) use(k *kind) {
	p.uses++
	k.usedAt = p.uses
}

func (p *Predictor) leastRecentlyUsed() (name string) {
	oldest := uint64(math.MaxUint64)
	for n, k := range p.kinds {
		if k.usedAt < oldest {
			name, oldest = n, k.usedAt
		}
	}
	return name
}
