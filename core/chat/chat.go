package chat

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/annotate"
)

// Chat is a parsed chat completion request; the body stays as the caller sent it.
type Chat struct {
	body      []byte
	model     string
	stream    bool
	explicit  string
	messages  []json.RawMessage
	opening   int
	returning bool
}

type request struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	CacheKey string            `json:"prompt_cache_key"`
	Messages []json.RawMessage `json:"messages"`
}

type turn struct {
	Role string `json:"role"`
}

const (
	roleUser      = "user"
	roleAssistant = "assistant"
)

// FieldError names the field of the request that is wrong.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return e.Field + ": " + e.Problem }

// Parse reads a request body.
func Parse(body []byte) (c *Chat, err error) {
	defer annotate.Error(&err, "parse chat completion request")
	var r request
	err = json.Unmarshal(body, &r)
	if err != nil {
		return nil, FieldError{Field: "body", Problem: err.Error()}
	}
	if r.Model == "" {
		return nil, FieldError{Field: "model", Problem: "missing"}
	}
	if len(r.Messages) == 0 {
		return nil, FieldError{Field: "messages", Problem: "missing or empty"}
	}
	c = &Chat{
		body: body, model: r.Model, stream: r.Stream,
		explicit: r.CacheKey, messages: r.Messages,
	}
	return c, c.readTurns()
}

func (c *Chat) readTurns() error {
	for i, raw := range c.messages {
		var t turn
		if err := json.Unmarshal(raw, &t); err != nil {
			return FieldError{Field: fmt.Sprintf("messages[%d]", i), Problem: err.Error()}
		}
		if t.Role == roleUser && c.opening == 0 {
			c.opening = i + 1
		}
		if t.Role == roleAssistant {
			c.returning = true
		}
	}
	if c.opening == 0 {
		c.opening = len(c.messages)
	}
	return nil
}

// Body is the request as the caller sent it.
func (c *Chat) Body() []byte { return c.body }

// Model is the model that the caller names.
func (c *Chat) Model() string { return c.model }

// Stream tells whether the answer is wanted as server-sent events.
func (c *Chat) Stream() bool { return c.stream }

// Messages are the messages as the caller sent them.
func (c *Chat) Messages() []json.RawMessage { return c.messages }

// Returning tells whether the chat has been answered before.
func (c *Chat) Returning() bool { return c.returning }

// Key places the chat. It hashes what does not change as a chat grows: the caller's own id, or the messages up to
// and including the first of the user. The system prompt alone never is the key, because all chats of a client
// account share it and would gather on one engine.
func (c *Chat) Key(account, chatID string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(account + "\x00" + c.model + "\x00")
	if chatID == "" {
		chatID = c.explicit
	}
	if chatID != "" {
		_, _ = h.WriteString(chatID)
		return h.Sum64()
	}
	for _, raw := range c.messages[:c.opening] {
		_, _ = h.Write(compacted(raw))
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

func compacted(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}

// Resumed is the body that asks an engine to go on after the text that the caller has already.
func (c *Chat) Resumed(text string) (body []byte, err error) {
	defer annotate.Error(&err, "write resumed request")
	var fields map[string]json.RawMessage
	err = json.Unmarshal(c.body, &fields)
	if err != nil {
		return nil, err
	}
	fields["resume"], err = json.Marshal(map[string]string{"text": text})
	if err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
