package load

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"savoryfall/core/loadplan"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is one conversation that may return.
type chat struct {
	account  int
	messages []message
	turn     int
	turns    int
	ticket   string
	keeps    bool
	long     bool
	due      time.Time
}

// idle orders chats by when they return.
type idle []*chat

func (h idle) Len() int           { return len(h) }
func (h idle) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h idle) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *idle) Push(x any)        { *h = append(*h, x.(*chat)) }
func (h *idle) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// population draws who asks next, and what; one goroutine uses it.
type population struct {
	plan    *loadplan.Plan
	random  *rand.Rand
	weights []float64
	resting idle
	opened  int
}

func newPopulation(p *loadplan.Plan) *population {
	pop := &population{plan: p, random: rand.New(rand.NewPCG(p.Seed, 1))}
	for rank := range p.Accounts.Count {
		pop.weights = append(pop.weights, math.Pow(float64(rank+1), -p.Accounts.Zipf))
	}
	return pop
}

// gap is the time to the next request, by the rate that holds at that time of the run.
func (p *population) gap(at time.Duration) time.Duration {
	rate := p.plan.Chats.RequestsPerSecond * p.sum(at)
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

func (p *population) sum(at time.Duration) (times float64) {
	whole, surged := 0.0, 0.0
	for i, w := range p.weights {
		whole += w
		surged += w * p.times(i, at)
	}
	return surged / whole
}

func (p *population) times(accountIndex int, at time.Duration) float64 {
	for _, s := range p.plan.Surges {
		if s.Account == accountIndex+1 && at >= s.At && at < s.At+s.For {
			return s.Times
		}
	}
	return 1
}

// next is a chat that is due, or a new one.
func (p *population) next(now time.Time, at time.Duration) (c *chat) {
	if len(p.resting) > 0 && !p.resting[0].due.After(now) && p.sum(at) == 1 {
		c = heap.Pop(&p.resting).(*chat)
	} else {
		c = p.open(at)
	}
	p.say(c)
	return c
}

func (p *population) open(at time.Duration) (c *chat) {
	p.opened++
	c = &chat{account: p.pick(at), keeps: p.random.Float64() < p.plan.Chats.TicketShare}
	c.turns = 1 + p.random.IntN(2*p.plan.Chats.Turns-1)
	c.messages = []message{{Role: "system", Content: filler(fmt.Sprintf("You serve account %d.", c.account), p.plan.Chats.SystemTokens)}}
	return c
}

func (p *population) pick(at time.Duration) int {
	sum := 0.0
	for i, w := range p.weights {
		sum += w * p.times(i, at)
	}
	x := p.random.Float64() * sum
	for i, w := range p.weights {
		x -= w * p.times(i, at)
		if x < 0 {
			return i
		}
	}
	return len(p.weights) - 1
}

// say adds the next question; its length, and whether its answer is long, are marked nowhere that a router looks.
func (p *population) say(c *chat) {
	tokens := p.plan.Chats.TurnTokens
	if c.turn == 0 {
		tokens = p.plan.Chats.OpeningTokens
	}
	c.long = p.random.Float64() < p.plan.Chats.LongShare
	want := p.plan.Chats.ShortTokens
	if c.long {
		want = p.plan.Chats.LongTokens
	}
	want = 1 + int(float64(want)*(0.5+p.random.Float64()))
	text := filler(fmt.Sprintf("#%d question %d of chat %d.", want, c.turn, p.opened), int(float64(tokens)*(0.5+p.random.Float64())))
	c.messages = append(c.messages, message{Role: "user", Content: text})
	c.turn++
}

// rest puts a chat away until it returns, if it does.
func (p *population) rest(c *chat, answer string, now time.Time) {
	c.messages = append(c.messages, message{Role: "assistant", Content: answer})
	if c.turn >= c.turns {
		return
	}
	c.due = now.Add(time.Duration(p.random.ExpFloat64() * float64(p.plan.Chats.Pause)))
	heap.Push(&p.resting, c)
}

const bytesPerToken = 4

func filler(head string, tokens int) string {
	n := tokens*bytesPerToken - len(head)
	if n <= 0 {
		return head
	}
	return head + strings.Repeat(" pad", n/4)
}

func encode(messages []message) []byte {
	data, err := json.Marshal(messages)
	if err != nil {
		panic("load: messages that JSON cannot hold: " + err.Error())
	}
	return data
}
