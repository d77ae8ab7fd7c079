package tokens

import "sync"

// Worth learns how large the prompts of returning chats are, and ranks one among them; the zero value knows nothing.
type Worth struct {
	mu    sync.Mutex
	means map[string]float64
}

const (
	// worthSmoothing lets the mean follow a few hundred chats.
	worthSmoothing = 0.01
	// fullWorth is from how many times the mean a prompt counts as worth most.
	fullWorth = 1.5
)

// Of takes the size of a returning chat's prompt, and tells what it is worth where it is cached: from 0 to 1.
func (w *Worth) Of(pool string, size int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.means == nil {
		w.means = map[string]float64{}
	}
	mean, known := w.means[pool]
	if !known {
		mean = float64(size)
	}
	mean += worthSmoothing * (float64(size) - mean)
	w.means[pool] = mean
	return min(float64(size)/(fullWorth*mean), 1)
}
