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
	"savoryfall/io/standin/httpjson"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content: the string itself, or the JSON of an array of parts.
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
	maxBodyBytes       = 32 << 20
	maxAnswerTokens    = 1 << 16
	baseAnswerTokens   = 24
	answerTokensSpread = 40
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	faults := e.nextRequestFaults()
	if faults.drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.Load, e.report().Header())
	w.Header().Set(header.Request, r.Header.Get(header.Request))
	w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	if faults.refuse {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if crash := e.crashOf(req); crash != nil {
		crash()
		panic(http.ErrAbortHandler)
	}
	if faults.fail {
		http.Error(w, "engine error", http.StatusInternalServerError)
		return
	}
	if !e.hasModel(req.Model) {
		refuse(w, http.StatusServiceUnavailable, "model not loaded")
		return
	}
	if faults.wrongAttempt {
		w.Header().Set(header.Attempt, "somebody-else")
	}
	s := e.newSequence(r, req)
	e.enqueue(s)
	defer e.markDone(s)
	e.writeAnswer(w, r, req, s, faults)
}

// CrashOn makes the engine call the function, which ends its process, when it gets a chat that holds the text.
func (e *Engine) CrashOn(text string, crash func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashText, e.onCrash = text, crash
}

// crashOf returns what ends the engine because of the request, nil for nothing.
func (e *Engine) crashOf(req completionRequest) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range req.Messages {
		if e.onCrash != nil && strings.Contains(m.text(), e.crashText) {
			return e.onCrash
		}
	}
	return nil
}

// hasModel returns whether the model itself, or any version of it, is loaded.
func (e *Engine) hasModel(model string) bool { return e.versionOf(model) != "" }

// versionOf returns the loaded version of the model that answers, the last in order if there are several, and an empty string if none is
// loaded.
func (e *Engine) versionOf(model string) (id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for loaded := range e.loaded {
		if name, _, _ := strings.Cut(loaded, "@"); name == model {
			id = max(id, loaded)
		}
	}
	return id
}

// refuse rejects a request and states in a header that no part of it was executed.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(header.Outcome, string(outcome.NotRun))
	http.Error(w, text, status)
}

func (e *Engine) newSequence(r *http.Request, req completionRequest) *sequence {
	prefixes := promptPrefixes(req.Messages)
	s := &sequence{attempt: r.Header.Get(header.Attempt), prompt: prefixes}
	s.priority, _ = strconv.Atoi(r.Header.Get(header.Priority))
	s.seed = prefixes[max(len(prefixes)-1, 0)].hash
	s.length = answerLength(req, s.seed)
	if req.Resume != nil {
		s.generated = min(strings.Count(req.Resume.Text, " "), s.length)
	}
	total := totalTokens(prefixes)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.cached = e.cache.lookUp(prefixes)
	e.promptTokens += int64(total)
	e.cachedTokens += int64(s.cached)
	e.served++
	s.prefillLeft = max(total-s.cached, 1)
	s.tokens = make(chan int, s.length-s.generated+1)
	return s
}

var answerLengthPattern = regexp.MustCompile(`#(\d+)`)

// answerLength returns the number of tokens in the answer: N if the last message contains #N, otherwise a number
// derived from its hash.
func answerLength(req completionRequest, seed uint64) (n int) {
	n = baseAnswerTokens + int(seed%answerTokensSpread)
	if len(req.Messages) > 0 {
		found := answerLengthPattern.FindStringSubmatch(req.Messages[len(req.Messages)-1].text())
		if found != nil {
			n, _ = strconv.Atoi(found[1])
		}
	}
	if req.MaxTokens > 0 {
		n = min(n, req.MaxTokens)
	}
	return min(max(n, 1), maxAnswerTokens)
}

// tokenText returns the text of one token. It is the same on every engine, so that tests can check a resumed answer.
func tokenText(seed uint64, n int) string {
	return fmt.Sprintf(" w%04x", xxhash.Sum64String(fmt.Sprint(seed, n))&0xffff)
}

// ExpectedAnswer returns the complete text that any engine generates for the messages if no fault occurs.
func ExpectedAnswer(messagesJSON []byte) (text string) {
	var messages []message
	if json.Unmarshal(messagesJSON, &messages) != nil || len(messages) == 0 {
		return ""
	}
	prompt := promptPrefixes(messages)
	seed := prompt[len(prompt)-1].hash
	for n := range answerLength(completionRequest{Messages: messages}, seed) {
		text += tokenText(seed, n)
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
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Fingerprint is the version of the model whose weights wrote the answer.
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
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
	u := &usage{PromptTokens: totalTokens(s.prompt), CompletionTokens: s.length}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = s.cached
	return u
}

// writeAnswer sends the answer, with headers that tell how many tokens of the prompt were cached.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, req completionRequest, s *sequence, faults requestFaults) {
	w.Header().Set(header.PromptTokens, strconv.Itoa(totalTokens(s.prompt)))
	w.Header().Set(header.CachedTokens, strconv.Itoa(s.cached))
	select {
	case <-time.After(time.Duration(faults.delayMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	c := completion{ID: "chatcmpl-" + s.attempt, Created: time.Now().Unix(), Model: req.Model, Fingerprint: e.versionOf(req.Model)}
	text, complete := e.generateAnswer(w, r, req, s, faults, c)
	if !complete || faults.truncate {
		return
	}
	e.cacheAnswer(req, text)
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
	httpjson.WriteJSON(w, c)
}

// generateAnswer collects the answer, and sends it event by event if the request asks for a stream.
func (e *Engine) generateAnswer(w http.ResponseWriter, r *http.Request, req completionRequest, s *sequence, faults requestFaults, c completion) (text string, complete bool) {
	var b strings.Builder
	if req.Resume != nil {
		b.WriteString(req.Resume.Text)
	}
	c.Object = "chat.completion.chunk"
	controller := http.NewResponseController(w)
	sent := 0
	for {
		select {
		case <-r.Context().Done():
			return "", false
		case n, open := <-s.tokens:
			if !open {
				return b.String(), true
			}
			next := e.nextChunk(s, n)
			b.WriteString(next.text)
			sent += next.tokens
			if req.Stream {
				c.Choices = []choice{{Delta: &delta{Role: "assistant", Content: next.text}}}
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, c)
				_ = controller.Flush()
			}
			if faults.abort && sent >= faults.stopAfterTokens {
				panic(http.ErrAbortHandler)
			}
			if faults.truncate && sent >= faults.stopAfterTokens {
				return "", false
			}
			if next.last {
				return b.String(), true
			}
		}
	}
}

type chunk struct {
	text   string
	tokens int
	last   bool
}

// nextChunk joins the tokens of one step into one event.
func (e *Engine) nextChunk(s *sequence, first int) (p chunk) {
	p = chunk{text: tokenText(s.seed, first), tokens: 1}
	for p.tokens < e.opts.TokensPerStep {
		select {
		case n, open := <-s.tokens:
			if !open {
				p.last = true
				return p
			}
			p.text += tokenText(s.seed, n)
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

// cacheAnswer caches the prompt together with its answer, because the next request of the chat begins with both.
func (e *Engine) cacheAnswer(req completionRequest, text string) {
	content, err := json.Marshal(text)
	if err != nil {
		return
	}
	all := append(append([]message{}, req.Messages...), message{Role: "assistant", Content: content})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.cache.add(promptPrefixes(all)))
}

func (e *Engine) handleSetPriority(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Priority int `json:"priority"`
	}
	if !httpjson.ReadJSON(w, r, &change) {
		return
	}
	e.forAttempt(mux.Vars(r)["attempt"], func(s *sequence) { s.priority = change.Priority })
}

func (e *Engine) handleCancel(_ http.ResponseWriter, r *http.Request) {
	e.forAttempt(mux.Vars(r)["attempt"], func(s *sequence) { s.done = true })
}

func (e *Engine) forAttempt(attempt string, update func(*sequence)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(append([]*sequence{}, e.running...), e.waiting...) {
		if s.attempt == attempt {
			update(s)
		}
	}
}

func (e *Engine) handleReport(w http.ResponseWriter, req *http.Request) {
	if e.isHanging() {
		<-req.Context().Done()
		return
	}
	r := e.report()
	e.mu.Lock()
	for m := range e.loaded {
		r.Loaded = append(r.Loaded, m)
	}
	e.mu.Unlock()
	httpjson.WriteJSON(w, r)
}

func (e *Engine) handleActualState(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, e.ActualState())
}
