package tokens

import "sync"

// CacheValue estimates the value of the cached prefix of a returning chat by the size of its prompt relative to the mean of
// the pool. The zero value is empty.
type CacheValue struct {
	mu    sync.Mutex
	means map[string]float64
}

const (
	// meanSmoothing makes the mean follow the last few hundred chats.
	meanSmoothing = 0.01
	// fullValueRatio is the ratio to the mean size from which a prompt has the highest value.
	fullValueRatio = 1.5
)

// Observe adds the prompt size of a returning chat to the mean, and returns the value of its cached prefix, from 0 to 1.
func (w *CacheValue) Observe(pool string, size int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.means == nil {
		w.means = map[string]float64{}
	}
	mean, seen := w.means[pool]
	if !seen {
		mean = float64(size)
	}
	mean += meanSmoothing * (float64(size) - mean)
	w.means[pool] = mean
	return min(float64(size)/(fullValueRatio*mean), 1)
}
