package bytebudget_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/bytebudget"
)

const (
	kB = int64(1) << 10
	mB = int64(1) << 20
)

// Guards against a process that holds more than its memory for slow readers: a thousand connections that each hold what they
// are allowed would take 256 MB.
func TestManySlowReadersKeepToTheBudget(t *testing.T) {
	var b bytebudget.Budget
	b.SetSize(40 * mB)
	accounts := make([]*bytebudget.Account, 1000)
	for i := range accounts {
		accounts[i] = b.Open(256 * kB)
	}
	for range 256 {
		for _, a := range accounts {
			a.Reserve(4 * kB)
		}
	}
	held, size, open, denied := b.Usage()
	assert.Assert(t, held <= size && held > size/2, "%d of %d", held, size)
	assert.Equal(t, open, 1000)
	assert.Assert(t, denied > 0)
	for i, a := range accounts {
		assert.Assert(t, a.Held() >= 4*kB, "account %d holds %d", i, a.Held())
	}
}

// Guards against a few large holders that keep small ones from any memory: first come first served, the first 160 of 1,000
// connections took the whole budget.
func TestLargestHoldersArePausedFirst(t *testing.T) {
	var b bytebudget.Budget
	b.SetSize(40 * mB)
	large, small := b.Open(64*mB), b.Open(64*mB)
	for range 100 {
		large.Reserve(mB)
	}
	assert.Equal(t, large.Held(), 20*mB)
	assert.Assert(t, small.Reserve(10*mB))
	assert.Assert(t, !large.Reserve(mB))
	assert.Assert(t, small.Reserve(10*mB))
	assert.Assert(t, b.Full())
}

// Guards against streams that begin when memory is almost used up, and against a refusal that outlasts its reason.
func TestFull(t *testing.T) {
	var b bytebudget.Budget
	a := b.Open(100)
	assert.Assert(t, a.Reserve(100) && !b.Full(), "a budget without a size is unlimited")
	b.SetSize(100)
	assert.Assert(t, b.Full())
	a.Release(11)
	assert.Assert(t, !b.Full())
	a.Force(50)
	assert.Equal(t, a.Held(), int64(139))
	a.Close()
	a.Close()
	assert.Assert(t, !a.Reserve(1))
	held, _, open, _ := b.Usage()
	assert.Equal(t, held, int64(0))
	assert.Equal(t, open, 0)
}

// Guards against a paused connection that is not told when it may go on.
func TestReleasedWakesWaiters(t *testing.T) {
	for name, release := range map[string]func(b *bytebudget.Budget, other *bytebudget.Account){
		"release": func(_ *bytebudget.Budget, other *bytebudget.Account) { other.Release(60) },
		"close":   func(_ *bytebudget.Budget, other *bytebudget.Account) { other.Close() },
		"size":    func(b *bytebudget.Budget, _ *bytebudget.Account) { b.SetSize(1000) },
	} {
		var b bytebudget.Budget
		b.SetSize(100)
		a, other := b.Open(100), b.Open(100)
		assert.Assert(t, other.Reserve(100))
		released := b.Released()
		assert.Assert(t, !a.Reserve(100), name)
		release(&b, other)
		<-released
	}
}

// Guards against bytes that are counted twice or never released, in any order of calls.
func TestHeldIsTheSumOfTheAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b bytebudget.Budget
		size := rapid.Int64Range(0, 1000).Draw(t, "size")
		b.SetSize(size)
		var accounts []*bytebudget.Account
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Int64Range(0, 300).Draw(t, "n")
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0 || len(accounts) == 0:
				accounts = append(accounts, b.Open(rapid.Int64Range(0, 500).Draw(t, "limit")))
			case step == 1:
				rapid.SampledFrom(accounts).Draw(t, "account").Reserve(n)
			case step == 2:
				rapid.SampledFrom(accounts).Draw(t, "account").Release(n)
			default:
				rapid.SampledFrom(accounts).Draw(t, "account").Close()
			}
			sum := int64(0)
			for _, a := range accounts {
				sum += a.Held()
			}
			held, _, _, _ := b.Usage()
			assert.Equal(t, held, sum)
			assert.Assert(t, size == 0 || held <= size)
		}
	})
}

func BenchmarkReserve(b *testing.B) {
	var budget bytebudget.Budget
	budget.SetSize(40 * mB)
	a := budget.Open(256 * kB)
	for b.Loop() {
		a.Reserve(4 * kB)
		a.Release(4 * kB)
	}
}
