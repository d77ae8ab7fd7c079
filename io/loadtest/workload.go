package loadtest

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

// chat is a conversation of one or more turns.
type chat struct {
	account         int
	messages        []message
	turn            int
	maxTurns        int
	ticket          string
	sendsTicket     bool
	wantsLongAnswer bool
	nextTurnAt      time.Time
}

// chatQueue is a heap of chats, ordered by the time of their next turn.
type chatQueue []*chat

func (h chatQueue) Len() int           { return len(h) }
func (h chatQueue) Less(i, j int) bool { return h[i].nextTurnAt.Before(h[j].nextTurnAt) }
func (h chatQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *chatQueue) Push(x any)        { *h = append(*h, x.(*chat)) }
func (h *chatQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// workload generates random requests as the plan describes them. It is not safe for concurrent use.
type workload struct {
	plan        *loadplan.Plan
	random      *rand.Rand
	weights     []float64
	idle        chatQueue
	chatsOpened int
}

func newWorkload(p *loadplan.Plan) *workload {
	wl := &workload{plan: p, random: rand.New(rand.NewPCG(p.Seed, 1))}
	for rank := range p.Accounts.Count {
		wl.weights = append(wl.weights, math.Pow(float64(rank+1), -p.Accounts.Zipf))
	}
	return wl
}

// nextInterval returns the time until the next request, at the request rate of that time of the run.
func (wl *workload) nextInterval(at time.Duration) time.Duration {
	rate := wl.plan.Chats.RequestsPerSecond * wl.totalRateFactor(at)
	return time.Duration(wl.random.ExpFloat64() / rate * float64(time.Second))
}

func (wl *workload) totalRateFactor(at time.Duration) (rateFactor float64) {
	total, surged := 0.0, 0.0
	for i, w := range wl.weights {
		total += w
		surged += w * wl.rateFactor(i, at)
	}
	return surged / total
}

func (wl *workload) rateFactor(accountIndex int, at time.Duration) float64 {
	for _, s := range wl.plan.Surges {
		if s.AccountRank == accountIndex+1 && at >= s.At && at < s.At+s.Duration {
			return s.Factor
		}
	}
	return 1
}

// next returns the next chat that is due, or a new one, with its next question added. During a surge all chats are new.
func (wl *workload) next(now time.Time, at time.Duration) (c *chat) {
	if len(wl.idle) > 0 && !wl.idle[0].nextTurnAt.After(now) && wl.totalRateFactor(at) == 1 {
		c = heap.Pop(&wl.idle).(*chat)
	} else {
		c = wl.newChat(at)
	}
	wl.addQuestion(c)
	return c
}

func (wl *workload) newChat(at time.Duration) (c *chat) {
	wl.chatsOpened++
	c = &chat{account: wl.pickAccount(at), sendsTicket: wl.random.Float64() < wl.plan.Chats.TicketShare}
	c.maxTurns = 1 + wl.random.IntN(2*wl.plan.Chats.Turns-1)
	c.messages = []message{{Role: "system", Content: padText(fmt.Sprintf("You serve account %d.", c.account), wl.plan.Chats.SystemTokens)}}
	return c
}

func (wl *workload) pickAccount(at time.Duration) int {
	sum := 0.0
	for i, w := range wl.weights {
		sum += w * wl.rateFactor(i, at)
	}
	x := wl.random.Float64() * sum
	for i, w := range wl.weights {
		x -= w * wl.rateFactor(i, at)
		if x < 0 {
			return i
		}
	}
	return len(wl.weights) - 1
}

// addQuestion adds the next question. The wanted length of the answer is part of the text, which only the engine
// interprets, so that a router cannot tell short from long answers in advance.
func (wl *workload) addQuestion(c *chat) {
	tokens := wl.plan.Chats.TurnTokens
	if c.turn == 0 {
		tokens = wl.plan.Chats.OpeningTokens
	}
	c.wantsLongAnswer = wl.random.Float64() < wl.plan.Chats.LongShare
	want := wl.plan.Chats.ShortTokens
	if c.wantsLongAnswer {
		want = wl.plan.Chats.LongTokens
	}
	want = 1 + int(float64(want)*(0.5+wl.random.Float64()))
	text := padText(fmt.Sprintf("#%d question %d of chat %d.", want, c.turn, wl.chatsOpened), int(float64(tokens)*(0.5+wl.random.Float64())))
	c.messages = append(c.messages, message{Role: "user", Content: text})
	c.turn++
}

// finishTurn appends the answer and, if the chat has turns left, queues it for its next turn.
func (wl *workload) finishTurn(c *chat, answer string, now time.Time) {
	c.messages = append(c.messages, message{Role: "assistant", Content: answer})
	if c.turn >= c.maxTurns {
		return
	}
	c.nextTurnAt = now.Add(time.Duration(wl.random.ExpFloat64() * float64(wl.plan.Chats.Pause)))
	heap.Push(&wl.idle, c)
}

const bytesPerToken = 4

func padText(text string, tokens int) string {
	n := tokens*bytesPerToken - len(text)
	if n <= 0 {
		return text
	}
	return text + strings.Repeat(" pad", n/4)
}

func encodeMessages(messages []message) []byte {
	data, err := json.Marshal(messages)
	if err != nil {
		panic("load: cannot encode messages as JSON: " + err.Error())
	}
	return data
}
