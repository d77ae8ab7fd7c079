package retrybudget

import "sync"

// Budget limits retries in proportion to first attempts. The zero value allows only a small number of initial retries.
// Without it, a failing pool would get several times its normal load from retries when it can handle the least.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens map[string]float64
}

const (
	// initialTokens lets a pool with little traffic move the streams of one engine that fails.
	initialTokens = 20
	// maxTokens bounds how many retries can accumulate while hardly any are needed.
	maxTokens = 500
)

// NewBudget returns a budget that allows ratio retries for each first attempt.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// RecordFirst counts a first attempt at the pool.
func (b *Budget) RecordFirst(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(pool, min(b.get(pool)+b.ratio, maxTokens))
}

// Allow reports whether the pool's budget allows a retry, and takes it out of the budget.
func (b *Budget) Allow(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.get(pool)
	if tokens < 1 {
		return false
	}
	b.set(pool, tokens-1)
	return true
}

func (b *Budget) get(pool string) float64 {
	if tokens, ok := b.tokens[pool]; ok {
		return tokens
	}
	return initialTokens
}

func (b *Budget) set(pool string, tokens float64) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	b.tokens[pool] = tokens
}
