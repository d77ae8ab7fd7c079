package retry

import "sync"

// Budget allows retries in proportion to first attempts; the zero value allows only its small reserve.
// Without it, a failing pool would get several times its normal load from retries just when it can bear least.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	saved map[string]float64
}

const (
	// reserve lets a quiet pool move the streams of one engine that dies.
	reserve = 20
	// most bounds what a long calm can save up for a storm.
	most = 500
)

// NewBudget allows ratio retries for each first attempt.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// First counts a first attempt at the pool.
func (b *Budget) First(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(pool, min(b.get(pool)+b.ratio, most))
}

// Allow takes one retry out of the pool's budget, if there is one.
func (b *Budget) Allow(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.get(pool)
	if saved < 1 {
		return false
	}
	b.set(pool, saved-1)
	return true
}

func (b *Budget) get(pool string) float64 {
	if saved, ok := b.saved[pool]; ok {
		return saved
	}
	return reserve
}

func (b *Budget) set(pool string, saved float64) {
	if b.saved == nil {
		b.saved = map[string]float64{}
	}
	b.saved[pool] = saved
}
