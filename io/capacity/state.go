package capacity

import (
	"fmt"
	"runtime"
	"time"

	"savoryfall/core/account"
	"savoryfall/core/claim"
	"savoryfall/core/endpoint"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/placement"
	"savoryfall/core/spills"
	"savoryfall/core/tomldoc"
)

const (
	model        = "m"
	poolOfModel  = "model/" + model
	requestsEach = 30
	tokensEach   = 120
)

// endpoints are engines as a release note lists them.
func endpoints(n int) (list []endpoint.Endpoint) {
	for i := range n {
		list = append(list, endpoint.Read(tomldoc.FromValues("capacity", map[string]any{
			"name": fmt.Sprintf("engine-%05d", i), "address": "127.0.0.1:1", "failureDomain": "d", "models": []any{model},
		}).Root()))
	}
	return list
}

// loaded is a ledger in which every endpoint holds some requests.
func loaded(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	list := endpoints(n)
	l.Configure(list)
	for i, e := range list {
		for j := range requestsEach + i%7 {
			l.Send(e.Name(), float64(tokensEach+j))
		}
	}
	return l
}

// heldByOne is how many requests one of 1,700 routers holds at 68,000 requests a second of 13 s.
const heldByOne = 520

// share is the ledger of one router of a large fleet: its requests are few for the endpoints of its region.
func share(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	list := endpoints(n)
	l.Configure(list)
	for i := range heldByOne {
		l.Send(list[i*7919%n].Name(), tokensEach)
	}
	return l
}

const choices = 2000

// Placements measures one routing decision, and the bytes of one load digest, by the number of candidates.
func Placements() (decision, digest, memory *Slope) {
	decision = &Slope{Name: "routing decision", Unit: "µs", Per: "candidate"}
	digest = &Slope{Name: "load digest", Unit: "B", Per: "endpoint"}
	memory = &Slope{Name: "ledger and health in memory", Unit: "B", Per: "endpoint"}
	p := placement.NewBounded(1.2, 1)
	for _, n := range []int{10, 100, 1000, 2500} {
		before := held()
		l := loaded(n)
		memory.add(float64(n), held()-before)
		took := each(choices, func(i int) {
			l.Choose(p, ledger.Query{Pool: poolOfModel, Key: uint64(i) << 32, Tokens: tokensEach, Returning: i%3 > 0})
		})
		decision.add(float64(n), float64(took.Nanoseconds())/1000)
		_, data := l.Digest()
		digest.add(float64(n), float64(len(data)))
		runtime.KeepAlive(l)
	}
	decision.fit()
	digest.fit()
	memory.fit()
	return decision, digest, memory
}

// Configurations measures the fold of one note, the snapshot and the memory, by the number of client accounts.
func Configurations() (fold, snapshot, memory, restore *Slope) {
	fold = &Slope{Name: "fold of one note", Unit: "µs", Per: "item in force"}
	snapshot = &Slope{Name: "snapshot of the configuration", Unit: "B", Per: "item in force"}
	memory = &Slope{Name: "configuration in memory", Unit: "B", Per: "item in force"}
	restore = &Slope{Name: "start from a snapshot", Unit: "ms", Per: "item in force"}
	for _, n := range []int{1000, 10_000, 57_000} {
		before := held()
		c := configured(n)
		memory.add(float64(n), held()-before)
		next := c
		took := each(50, func(i int) {
			next, _ = next.Apply(next.Next(), inforce.NoteRecord(changeNote(i)))
		})
		fold.add(float64(n), float64(took.Nanoseconds())/1000)
		data, err := c.Snapshot()
		if err != nil {
			panic("capacity: " + err.Error())
		}
		snapshot.add(float64(n), float64(len(data)))
		took = each(1, func(int) { _, _ = inforce.Restore(data) })
		restore.add(float64(n), float64(took.Microseconds())/1000)
		runtime.KeepAlive(c)
	}
	for _, s := range []*Slope{fold, snapshot, memory, restore} {
		s.fit()
	}
	return fold, snapshot, memory, restore
}

const accountsPerNote = 1000

func configured(n int) *inforce.Configuration {
	c := &inforce.Configuration{}
	base := ""
	for from := 0; from < n; from += accountsPerNote {
		id := fmt.Sprint("note-", from)
		text := fmt.Sprintf("id = %q\nbasedOn = %q\n", id, base)
		for i := from; i < min(from+accountsPerNote, n); i++ {
			text += accountItem("added", i, 1)
		}
		c, _ = c.Apply(c.Next(), inforce.NoteRecord(text))
		base = id
	}
	return c
}

func accountItem(verb string, i int, weight float64) string {
	name := fmt.Sprintf("account-%06d", i)
	return fmt.Sprintf("[[%s.accounts]]\nname = %q\nkeyDigest = %q\nweight = %f\n", verb, name, account.Digest(name), weight)
}

func changeNote(i int) string {
	base := "note-0"
	if i > 0 {
		base = fmt.Sprint("change-", i-1)
	}
	return fmt.Sprintf("id = \"change-%d\"\nbasedOn = %q\n%s", i, base, accountItem("changed", 7, float64(i+2)))
}

// Claims measures the memory of remembered keys, and the bytes that one claimed call puts on the log.
func Claims() (memory *Slope, bytesPerCall float64) {
	memory = &Slope{Name: "claims in memory", Unit: "B", Per: "key in the window"}
	at := time.Now()
	for _, n := range []int{1000, 10_000, 100_000} {
		before := held()
		b := claim.NewBook(time.Hour)
		for i := range n {
			b.Apply(int64(2*i), at, claim.Encode([]claim.Record{claimRecord(i)}))
			b.Apply(int64(2*i+1), at, claim.Encode([]claim.Record{outcomeRecord(i)}))
		}
		memory.add(float64(n), held()-before)
		runtime.KeepAlive(b)
	}
	memory.fit()
	return memory, float64(len(claim.Encode([]claim.Record{claimRecord(1)})) + len(claim.Encode([]claim.Record{outcomeRecord(1)})))
}

const attemptID = "0b9a1c2e-6c1f-4a57-9d5e-0c6f1d1a8f11"

func claimRecord(i int) claim.Record {
	return claim.Record{
		Kind: claim.KindClaim, Account: "account-000001", Key: fmt.Sprint("key-", i), Attempt: attemptID,
		Digest: "0123456789abcdef0123456789abcdef",
	}
}

func outcomeRecord(i int) claim.Record {
	return claim.Record{
		Kind: claim.KindOutcome, Account: "account-000001", Key: fmt.Sprint("key-", i), Attempt: attemptID, Outcome: "ran",
		Status: 200, ContentType: "application/json", Body: []byte(`{"permit":"2026-000001","volume":"3 st"}`),
	}
}

// Spills measures the memory of remembered exceptions.
func Spills() (memory *Slope) {
	memory = &Slope{Name: "spilled chats in memory", Unit: "B", Per: "chat"}
	for _, n := range []int{1000, 10_000, 100_000} {
		before := held()
		var t spills.Table
		for i := range n {
			t.Add(uint64(i)<<32, 7<<48, time.Now())
		}
		memory.add(float64(n), held()-before)
		runtime.KeepAlive(&t)
	}
	memory.fit()
	return memory
}
