package dispatch_test

import (
	"time"

	"savoryfall/core/dispatch"
)

type server struct {
	id           string
	slots, queue int
	running      []job
	waiting      []job
	// readsUntil is until when the server reads prompts, one after the other.
	readsUntil time.Time
	// losesAnswers makes the server lose the answer to every third request.
	losesAnswers bool
	// refusesUntil is until when the server refuses all requests, and pause for how long it then asks for none.
	refusesUntil time.Time
	pause        time.Duration
	refused      int
	ended        int
	// brittle is how many requests the server may turn away in a second for lack of capacity before it falls over, 0 if it
	// does not. turnedAway are the times of those, downUntil is the end of the last fall, and falls counts the falls.
	brittle    int
	turnedAway []time.Time
	downUntil  time.Time
	falls      int
	// recent are the times of the arrivals of the last second, and most is the largest number of them.
	recent []time.Time
	most   int
	// lost are the requests whose answers were lost and that were not retried yet.
	lost []job
}

// job is one request at a server. first is when it begins to answer, zero once it has; ends is when it ends.
type job struct {
	attempt     *dispatch.Attempt
	q           dispatch.Query
	work        time.Duration
	first, ends time.Time
}

func (v *server) countRecent(now time.Time) {
	v.recent = append(v.recent, now)
	for now.Sub(v.recent[0]) >= time.Second {
		v.recent = v.recent[1:]
	}
	v.most = max(v.most, len(v.recent))
}

func (v *server) load() int { return len(v.running) + len(v.waiting) }

func (v *server) accept(j job, now time.Time) bool {
	switch {
	case now.Before(v.refusesUntil):
		v.refused++
		return false
	case len(v.running) < v.slots:
		v.begin(j, now)
	case len(v.waiting) < v.queue:
		v.waiting = append(v.waiting, j)
	default:
		v.countTurnedAway(now)
		return false
	}
	return true
}

// downTime is how long a server is down after it fell over.
const downTime = 3 * time.Second

// countTurnedAway makes a brittle server fall over if it turns too many requests away.
func (v *server) countTurnedAway(now time.Time) {
	if v.brittle == 0 {
		return
	}
	v.turnedAway = append(v.turnedAway, now)
	for now.Sub(v.turnedAway[0]) > time.Second {
		v.turnedAway = v.turnedAway[1:]
	}
	if len(v.turnedAway) <= v.brittle {
		return
	}
	v.falls++
	v.downUntil, v.turnedAway = now.Add(downTime), nil
	for _, j := range append(v.running, v.waiting...) {
		j.attempt.End(dispatch.Broken, now)
	}
	v.running, v.waiting = nil, nil
}

// answered records what each answer of the server says.
func (v *server) answered(a *dispatch.Attempt, now time.Time) {
	a.RecordBrittle(v.brittle > 0, now)
}

// begin starts a request: it reads the prompt when those before it are read, and then answers.
func (v *server) begin(j job, now time.Time) {
	if v.readsUntil.Before(now) {
		v.readsUntil = now
	}
	v.readsUntil = v.readsUntil.Add(time.Duration(j.attempt.MissingTokens()) * time.Millisecond / 100)
	j.first = v.readsUntil
	j.ends = j.first.Add(j.work)
	v.running = append(v.running, j)
}

// advance lets requests answer and end, in order of time.
func (v *server) advance(now time.Time) {
	for {
		next := -1
		for i := range v.running {
			j := &v.running[i]
			if !j.first.IsZero() && !j.first.After(now) {
				j.attempt.RecordFirstBytes(dispatch.Load{Running: len(v.running), Waiting: len(v.waiting), Known: true}, j.first)
				v.answered(j.attempt, j.first)
				j.first = time.Time{}
			}
			if !j.ends.After(now) && (next < 0 || j.ends.Before(v.running[next].ends)) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		j := v.running[next]
		v.running = append(v.running[:next], v.running[next+1:]...)
		how := v.verdict()
		j.attempt.End(how, j.ends)
		if how == dispatch.Broken && len(j.q.Tried) == 0 {
			v.lost = append(v.lost, j)
		}
		if len(v.waiting) > 0 {
			w := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.begin(w, j.ends)
		}
	}
}

// verdict returns how the next attempt ends.
func (v *server) verdict() dispatch.Verdict {
	v.ended++
	if v.losesAnswers && v.ended%3 == 0 {
		return dispatch.Broken
	}
	return dispatch.Served
}
