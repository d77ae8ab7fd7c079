package tokens

import "sync"

// CacheValue estimates the value of the cached prefix of a returning chat by the size of its prompt relative to the
// mean of the pool. The zero value is empty.
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

// Observe adds the prompt size of a returning chat to the mean, and returns the value of its cached prefix, from 0 to
// 1.
func (v *CacheValue) Observe(pool string, size int) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.means == nil {
		v.means = map[string]float64{}
	}
	mean, seen := v.means[pool]
	if !seen {
		mean = float64(size)
	}
	mean += meanSmoothing * (float64(size) - mean)
	v.means[pool] = mean
	return min(float64(size)/(fullValueRatio*mean), 1)
}
