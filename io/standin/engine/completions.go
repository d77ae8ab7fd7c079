package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/io/standin/wire"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text is the content, which is a string or an array of parts.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_completion_tokens"`
	Resume    *struct {
		Text string `json:"text"`
	} `json:"resume"`
}

const (
	maxBody      = 32 << 20
	maxAnswer    = 1 << 16
	defaultWants = 24
	spreadWants  = 40
)

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	h := e.takeFaults()
	if h.drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.Load, e.report().Header())
	w.Header().Set(header.Request, r.Header.Get(header.Request))
	w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	if h.refuse {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if h.fail {
		http.Error(w, "engine error", http.StatusInternalServerError)
		return
	}
	if !e.serves(req.Model) {
		refuse(w, http.StatusServiceUnavailable, "model not loaded")
		return
	}
	if h.cross {
		w.Header().Set(header.Attempt, "somebody-else")
	}
	s := e.newSequence(r, req)
	e.admit(s)
	defer e.leave(s)
	e.write(w, r, req, s, h)
}

// serves tells whether the model itself, or any version of it, is loaded.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.loaded {
		if name, _, _ := strings.Cut(id, "@"); name == model {
			return true
		}
	}
	return false
}

// refuse promises that nothing of the request was acted on.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(header.Outcome, string(outcome.NotRun))
	http.Error(w, text, status)
}

func (e *Engine) newSequence(r *http.Request, req completionRequest) *sequence {
	cut := prefixes(req.Messages)
	s := &sequence{attempt: r.Header.Get(header.Attempt), prompt: cut}
	s.priority, _ = strconv.Atoi(r.Header.Get(header.Priority))
	s.seed = cut[max(len(cut)-1, 0)].hash
	s.want = wanted(req, s.seed)
	if req.Resume != nil {
		s.made = min(strings.Count(req.Resume.Text, " "), s.want)
	}
	total := totalTokens(cut)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.cached = e.cache.hit(cut)
	e.promptSum += int64(total)
	e.cachedSum += int64(s.cached)
	e.served++
	s.prefill = max(total-s.cached, 1)
	s.tokens = make(chan int, s.want-s.made+1)
	return s
}

var wantsPattern = regexp.MustCompile(`#(\d+)`)

// wanted is how many tokens the answer has: as the last message says with #N, else by its hash.
func wanted(req completionRequest, seed uint64) (n int) {
	n = defaultWants + int(seed%spreadWants)
	if len(req.Messages) > 0 {
		found := wantsPattern.FindStringSubmatch(req.Messages[len(req.Messages)-1].text())
		if found != nil {
			n, _ = strconv.Atoi(found[1])
		}
	}
	if req.MaxTokens > 0 {
		n = min(n, req.MaxTokens)
	}
	return min(max(n, 1), maxAnswer)
}

// word is the text of one token, the same on every engine, so that a resumed answer can be checked.
func word(seed uint64, n int) string {
	return fmt.Sprintf(" w%04x", xxhash.Sum64String(fmt.Sprint(seed, n))&0xffff)
}

// Answer is the whole text that an engine makes for the messages when nothing fails.
func Answer(messagesJSON []byte) (text string) {
	var messages []message
	if json.Unmarshal(messagesJSON, &messages) != nil || len(messages) == 0 {
		return ""
	}
	cut := prefixes(messages)
	seed := cut[len(cut)-1].hash
	for n := range wanted(completionRequest{Messages: messages}, seed) {
		text += word(seed, n)
	}
	return text
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (s *sequence) usage() *usage {
	u := &usage{PromptTokens: totalTokens(s.prompt), CompletionTokens: s.want}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = s.cached
	return u
}

// write waits for the first token, so that the headers say what the prompt found cached.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, req completionRequest, s *sequence, h hit) {
	w.Header().Set(header.PromptTokens, strconv.Itoa(totalTokens(s.prompt)))
	w.Header().Set(header.CachedTokens, strconv.Itoa(s.cached))
	select {
	case <-time.After(time.Duration(h.lateMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	c := completion{ID: "chatcmpl-" + s.attempt, Created: time.Now().Unix(), Model: req.Model}
	text, whole := e.stream(w, r, req, s, h, c)
	if !whole || h.truncate {
		return
	}
	e.keepAnswer(req, text)
	stop := "stop"
	if req.Stream {
		c.Object = "chat.completion.chunk"
		c.Choices = []choice{{Delta: &delta{}, FinishReason: &stop}}
		c.Usage = s.usage()
		writeEvent(w, c)
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	c.Object = "chat.completion"
	c.Choices = []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &stop}}
	c.Usage = s.usage()
	wire.Write(w, c)
}

// stream collects the answer, and sends it event by event when the request asks for that.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req completionRequest, s *sequence, h hit, c completion) (text string, whole bool) {
	var b strings.Builder
	if req.Resume != nil {
		b.WriteString(req.Resume.Text)
	}
	c.Object = "chat.completion.chunk"
	flush := http.NewResponseController(w)
	sent := 0
	for {
		select {
		case <-r.Context().Done():
			return "", false
		case n, more := <-s.tokens:
			if !more {
				return b.String(), true
			}
			piece := e.gather(s, n)
			b.WriteString(piece.text)
			sent += piece.tokens
			if req.Stream {
				c.Choices = []choice{{Delta: &delta{Role: "assistant", Content: piece.text}}}
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, c)
				_ = flush.Flush()
			}
			if h.die && sent >= h.dieAfter {
				panic(http.ErrAbortHandler)
			}
			if h.truncate && sent >= h.dieAfter {
				return "", false
			}
			if piece.last {
				return b.String(), true
			}
		}
	}
}

type piece struct {
	text   string
	tokens int
	last   bool
}

// gather joins the tokens that one step made into one event.
func (e *Engine) gather(s *sequence, first int) (p piece) {
	p = piece{text: word(s.seed, first), tokens: 1}
	for p.tokens < e.opts.TokensPerStep {
		select {
		case n, more := <-s.tokens:
			if !more {
				p.last = true
				return p
			}
			p.text += word(s.seed, n)
			p.tokens++
		default:
			return p
		}
	}
	return p
}

func writeEvent(w http.ResponseWriter, c completion) {
	data, err := json.Marshal(c)
	if err == nil {
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

// keepAnswer caches the prompt with its answer, which is what the returning chat will begin with.
func (e *Engine) keepAnswer(req completionRequest, text string) {
	content, err := json.Marshal(text)
	if err != nil {
		return
	}
	all := append(append([]message{}, req.Messages...), message{Role: "assistant", Content: content})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.cache.put(prefixes(all)))
}

func (e *Engine) setPriority(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Priority int `json:"priority"`
	}
	if !wire.Read(w, r, &change) {
		return
	}
	e.each(mux.Vars(r)["attempt"], func(s *sequence) { s.priority = change.Priority })
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.each(mux.Vars(r)["attempt"], func(s *sequence) { s.gone = true })
}

func (e *Engine) each(attempt string, do func(*sequence)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(append([]*sequence{}, e.running...), e.waiting...) {
		if s.attempt == attempt {
			do(s)
		}
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, req *http.Request) {
	if e.hangs() {
		<-req.Context().Done()
		return
	}
	r := e.report()
	e.mu.Lock()
	for m := range e.loaded {
		r.Loaded = append(r.Loaded, m)
	}
	e.mu.Unlock()
	wire.Write(w, r)
}

func (e *Engine) serveTruth(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, e.Truth())
}
