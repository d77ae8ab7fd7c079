package tokens

import (
	"math/bits"
	"sync"
)

const (
	buckets = 24
	// decay halves the weight of an observation after about 700 newer ones.
	decay = 0.999
	// defaultLength is the expected length of a response before any has been observed.
	defaultLength = 128
)

// Estimator learns the response lengths of each class of requests. The zero value is empty.
type Estimator struct {
	mu         sync.Mutex
	histograms map[string]*lengthHistogram
}

// lengthHistogram counts responses and their tokens in buckets bounded by powers of two.
type lengthHistogram struct {
	count  [buckets]float64
	tokens [buckets]float64
}

// Observe records the length of a finished response.
func (e *Estimator) Observe(class string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.histograms == nil {
		e.histograms = map[string]*lengthHistogram{}
	}
	h := e.histograms[class]
	if h == nil {
		h = &lengthHistogram{}
		e.histograms[class] = h
	}
	h.observe(n)
}

func (h *lengthHistogram) observe(n int) {
	for b := range h.count {
		h.count[b] *= decay
		h.tokens[b] *= decay
	}
	b := bucket(n)
	h.count[b]++
	h.tokens[b] += float64(n)
}

func bucket(n int) int {
	return min(bits.Len(uint(max(n, 0))), buckets-1)
}

// Remaining returns the expected number of tokens that a response still has to generate. Only lengths beyond what it
// has generated so far count, so a long response is expected to continue for long.
func (e *Estimator) Remaining(class string, generated int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.histograms[class]
	if h == nil {
		return max(defaultLength-float64(generated), 1)
	}
	return h.remaining(generated)
}

func (h *lengthHistogram) remaining(generated int) float64 {
	var count, sum float64
	for b := bucket(generated); b < buckets; b++ {
		if h.count[b] == 0 {
			continue
		}
		mean := h.tokens[b] / h.count[b]
		if mean > float64(generated) {
			count += h.count[b]
			sum += h.tokens[b]
		}
	}
	if count == 0 {
		return max(float64(generated)/2, 1)
	}
	return max(sum/count-float64(generated), 1)
}
