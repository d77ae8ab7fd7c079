package dispatch_test

import (
	"slices"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/prefixcache"
)

// modelEngine is an engine whose reading delays all its streams.
type modelEngine struct {
	id    string
	queue int
	// factor is by how much its work takes longer, lie by how much its reported load differs.
	factor, lie      float64
	lost             bool
	cache            prefixcache.Cache
	running, waiting []*stream
	readsUntil       time.Time
	// due is the time before which nothing changes by itself.
	due time.Time
}

type stream struct {
	attempt           *dispatch.Attempt
	q                 dispatch.Query
	events            int
	large, counts     bool
	arrived, deadline time.Time
	// first and ends are when the first and last event are sent. answered is set after the first.
	first, ends    time.Time
	answered, gone bool
}

func (v *modelEngine) load() int { return len(v.running) + len(v.waiting) }

func (v *modelEngine) accept(j *stream, now time.Time) bool {
	v.due = now
	switch {
	case v.lost:
		return false
	case len(v.running) < overloadSlots:
		v.begin(j, now)
	case len(v.waiting) < v.queue:
		i := len(v.waiting)
		for j.attempt != nil && i > 0 && v.waiting[i-1].q.Rank > j.q.Rank {
			i--
		}
		v.waiting = slices.Insert(v.waiting, i, j)
	default:
		return false
	}
	return true
}

// begin reads the prompt of a request after those before it, while all streams pause.
func (v *modelEngine) begin(j *stream, now time.Time) {
	if v.readsUntil.Before(now) {
		v.readsUntil = now
	}
	missing := float64(j.q.Prompt.Tokens() - v.cache.CachedTokens(j.q.Prompt))
	fetching := time.Duration(0)
	if j.attempt != nil && j.attempt.FetchSource() != "" {
		own := float64(j.q.Prompt[1].Tokens)
		fetching = 8*time.Millisecond + inMs((missing-own)/tokensPerMs/5)
		missing = min(missing, own)
	}
	v.cache.Read(j.q.Prompt, overloadCache)
	reading := inMs(missing / tokensPerMs * v.factor)
	v.readsUntil = v.readsUntil.Add(reading)
	for _, s := range v.running {
		if s.first.After(now) {
			continue
		}
		s.ends = s.ends.Add(reading)
	}
	step := time.Duration(float64(engineStep) * v.factor * (1 + stepShare*float64(len(v.running))))
	j.first = v.readsUntil.Add(fetching + step)
	j.ends = j.first.Add(time.Duration(j.events-1) * step)
	v.running = append(v.running, j)
}

func inMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (v *modelEngine) advance(o *overload) {
	if o.now.Before(v.due) {
		return
	}
	for {
		next := -1
		for i, j := range v.running {
			if !j.answered && !j.first.After(o.now) {
				v.answer(o, j)
			}
			v.expire(o, j)
			if !j.ends.After(o.now) && (next < 0 || j.ends.Before(v.running[next].ends)) {
				next = i
			}
		}
		v.waiting = slices.DeleteFunc(v.waiting, func(j *stream) bool {
			v.expire(o, j)
			return j.gone
		})
		if next < 0 {
			v.setDue(o.now)
			return
		}
		j := v.running[next]
		v.running = slices.Delete(v.running, next, next+1)
		if j.attempt != nil {
			j.attempt.End(dispatch.Served, j.ends)
		}
		if len(v.waiting) > 0 {
			w := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.begin(w, j.ends)
		}
	}
}

// setDue finds the earliest first or last event, or deadline, of its streams.
func (v *modelEngine) setDue(now time.Time) {
	v.due = now.Add(time.Hour)
	consider := func(t time.Time) {
		if t.Before(v.due) {
			v.due = t
		}
	}
	for _, j := range v.running {
		if !j.answered {
			consider(j.first)
		}
		consider(j.ends)
	}
	for _, j := range append(v.running[:len(v.running):len(v.running)], v.waiting...) {
		if !j.gone {
			consider(j.deadline)
		}
	}
}

// answer sends the first event.
func (v *modelEngine) answer(o *overload, j *stream) {
	j.answered = true
	if j.attempt != nil && !j.gone {
		j.attempt.RecordFirstBytes(dispatch.Load{
			Running: int(v.lie * float64(len(v.running))), Waiting: int(v.lie * float64(len(v.waiting))), Slots: overloadSlots, Slowdown: v.factor, Known: true,
		}, j.first)
	}
	if j.counts && !j.gone && j.first.Sub(j.arrived) <= streamTarget {
		o.results.good[j.q.Rank]++
		if j.large {
			o.results.largeGood[j.q.Rank]++
		}
	}
}

// expire ends a request whose client has given up. An engine goes on with what it has begun.
func (v *modelEngine) expire(o *overload, j *stream) {
	if j.gone || o.now.Before(j.deadline) || !j.ends.IsZero() && j.ends.Before(j.deadline) {
		return
	}
	j.gone = true
	if j.attempt != nil {
		j.attempt.End(dispatch.Abandoned, o.now)
	}
	if j.counts {
		o.results.expired[j.q.Rank]++
	}
}
