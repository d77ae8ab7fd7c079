package outputlength

const (
	// maxCount is how many observations decide.
	maxCount = 200.0
	// priorCount is how many observations of its own a kind needs to count as much as what all kinds have in common.
	priorCount = 1.0
	// priorHints is how many hinted answers of its own a kind needs for its own weight of the hint to count as much as that of all.
	priorHints = 10.0
	// defaultHintWeight is the weight of a hint until answers have shown it: half of the way, as hints are often far off.
	defaultHintWeight = 0.5
	// maxHintDeviation limits how far from the usual hint, in its logarithm, a hint counts: by a factor of 20.
	maxHintDeviation = 3.0
	// minHinted is how many hints show which one is usual.
	minHinted = 10.0
	// minHintVariance is the variance of the logarithms below which all hints are alike and say nothing.
	minHintVariance = 1e-6
)

// lengths is the distribution of the logarithms of events, and their relation to those of hints. The zero value is empty.
type lengths struct {
	count    float64
	events   float64
	variance float64
	// hinted counts the answers with a hint. The figures below are means of those alone.
	hinted              float64
	hintedEvents, hints float64
	// hintVariance is the variance of the hints, and covariance that of hints and events.
	hintVariance, covariance float64
}

func (l *lengths) observe(logEvents, logHint float64, hinted bool) {
	l.count = min(l.count+1, maxCount)
	rate := 1 / l.count
	before := logEvents - l.events
	l.events += rate * before
	l.variance += rate * (before*(logEvents-l.events) - l.variance)
	if hinted {
		l.observeHint(logEvents, logHint)
	}
}

func (l *lengths) observeHint(logEvents, logHint float64) {
	if l.hinted >= minHinted {
		logHint = l.hints + limited(logHint-l.hints)
	}
	l.hinted = min(l.hinted+1, maxCount)
	rate := 1 / l.hinted
	before := logHint - l.hints
	l.hintedEvents += rate * (logEvents - l.hintedEvents)
	l.hints += rate * before
	l.hintVariance += rate * (before*(logHint-l.hints) - l.hintVariance)
	l.covariance += rate * (before*(logEvents-l.hintedEvents) - l.covariance)
}

// predict returns the expected logarithm of the events. common is what all kinds have in common.
func (l *lengths) predict(logHint float64, hinted bool, common *lengths) float64 {
	usual := shrunk(l.events, l.count, common.events, priorCount)
	if !hinted || common.hinted == 0 {
		return usual
	}
	events := shrunk(l.hintedEvents, l.hinted, usual, priorCount)
	hint := shrunk(l.hints, l.hinted, usual+common.hints-common.hintedEvents, priorCount)
	return events + l.hintWeight(common)*limited(logHint-hint)
}

// hintWeight returns how far the events follow the hint, from 0 for not at all to 1: the weight of the hint beside the mean that has the
// least squared error of the logarithms.
func (l *lengths) hintWeight(common *lengths) float64 {
	prior := shrunk(common.ownHintWeight(), common.hinted, defaultHintWeight, priorHints)
	return shrunk(l.ownHintWeight(), l.hinted, prior, priorHints)
}

func (l *lengths) ownHintWeight() float64 {
	if l.hintVariance < minHintVariance {
		return defaultHintWeight
	}
	return min(max(l.covariance/l.hintVariance, 0), 1)
}

func limited(deviation float64) float64 {
	return min(max(deviation, -maxHintDeviation), maxHintDeviation)
}

// shrunk returns a value of count observations, drawn towards a prior that counts as much as priorCount of them.
func shrunk(value, count, prior, priorCount float64) float64 {
	return (count*value + priorCount*prior) / (count + priorCount)
}
