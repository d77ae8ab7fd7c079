package tokens

import (
	"math/bits"
	"sync"
)

const (
	buckets = 24
	// decay halves the weight of an observation after about 700 newer ones.
	decay = 0.999
	// prior is what an answer is expected to have before any was seen.
	prior = 128
)

// Estimator learns the lengths of answers for each class of requests; the zero value knows nothing yet.
type Estimator struct {
	mu      sync.Mutex
	classes map[string]*lengths
}

// lengths counts answers and their tokens by the power of two that bounds them.
type lengths struct {
	count  [buckets]float64
	tokens [buckets]float64
}

// Observe takes the length of a finished answer.
func (e *Estimator) Observe(class string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.classes == nil {
		e.classes = map[string]*lengths{}
	}
	l := e.classes[class]
	if l == nil {
		l = &lengths{}
		e.classes[class] = l
	}
	l.observe(n)
}

func (l *lengths) observe(n int) {
	for b := range l.count {
		l.count[b] *= decay
		l.tokens[b] *= decay
	}
	b := bucket(n)
	l.count[b]++
	l.tokens[b] += float64(n)
}

func bucket(n int) int {
	return min(bits.Len(uint(max(n, 0))), buckets-1)
}

// Remaining is how many tokens an answer that has made so many is expected to make still. A long answer is
// expected to go on for long: only lengths beyond what it has made count.
func (e *Estimator) Remaining(class string, made int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.classes[class]
	if l == nil {
		return max(prior-float64(made), 1)
	}
	return l.remaining(made)
}

func (l *lengths) remaining(made int) float64 {
	var count, sum float64
	for b := bucket(made); b < buckets; b++ {
		if l.count[b] == 0 {
			continue
		}
		mean := l.tokens[b] / l.count[b]
		if mean > float64(made) {
			count += l.count[b]
			sum += l.tokens[b]
		}
	}
	if count == 0 {
		return max(float64(made)/2, 1)
	}
	return max(sum/count-float64(made), 1)
}
