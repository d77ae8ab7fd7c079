package quarantine

import "time"

// trialDelays are the times from a crash to the next trial of a quarantined part: a part that was suspected wrongly is back
// after the first. The last one applies to all further trials, so that a part that still crashes endpoints costs few of them
// in a day.
var trialDelays = [...]time.Duration{5 * time.Second, time.Hour, 24 * time.Hour}

const (
	// trialStagger is how much later the next router may begin a trial. By then it knows whether one before it has begun it.
	trialStagger = 2 * time.Second
	// inconclusiveDelay is the time to the next trial after one that showed nothing.
	inconclusiveDelay = 5 * time.Second
)

// announceTime is the time in which all routers learn that a trial of a request has begun, also busy ones. It is sent only then: its
// client may send it again to any router.
const announceTime = 500 * time.Millisecond

// trial is when requests with a quarantined part are tried. Each router keeps the latest one that it knows of.
type trial struct {
	// count is the number of trials so far.
	count int
	// number rises with each change.
	number int64
	// due is when the first router may begin the next trial.
	due time.Time
}

// schedule sets when the next trial is due after a crash.
func (t *trial) schedule(now time.Time) {
	t.number++
	t.due = now.Add(trialDelays[min(t.count, len(trialDelays)-1)])
}

// begin counts a trial. Until it shows anything, the next one is due as if it had crashed an endpoint.
func (t *trial) begin(now time.Time) {
	t.count++
	t.schedule(now)
}

// takeBack undoes a trial that showed nothing.
func (t *trial) takeBack(now time.Time) {
	t.count = max(t.count-1, 0)
	t.number++
	t.due = now.Add(inconclusiveDelay)
}
