package chat

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/annotate"
)

// Chat is a parsed chat completion request; the body is kept as the client sent it.
type Chat struct {
	body          []byte
	model         string
	stream        bool
	cacheKey      string
	messages      []json.RawMessage
	openingLength int
	returning     bool
}

type completionRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	CacheKey string            `json:"prompt_cache_key"`
	Messages []json.RawMessage `json:"messages"`
}

type message struct {
	Role string `json:"role"`
}

const (
	roleUser      = "user"
	roleAssistant = "assistant"
)

// FieldError reports an invalid field of the request.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return e.Field + ": " + e.Problem }

// Parse parses a request body.
func Parse(body []byte) (c *Chat, err error) {
	defer annotate.Error(&err, "parse chat completion request")
	var r completionRequest
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
		cacheKey: r.CacheKey, messages: r.Messages,
	}
	return c, c.scanMessages()
}

func (c *Chat) scanMessages() error {
	for i, raw := range c.messages {
		var m message
		if err := json.Unmarshal(raw, &m); err != nil {
			return FieldError{Field: fmt.Sprintf("messages[%d]", i), Problem: err.Error()}
		}
		if m.Role == roleUser && c.openingLength == 0 {
			c.openingLength = i + 1
		}
		if m.Role == roleAssistant {
			c.returning = true
		}
	}
	if c.openingLength == 0 {
		c.openingLength = len(c.messages)
	}
	return nil
}

// Body returns the request body as the client sent it.
func (c *Chat) Body() []byte { return c.body }

// Model returns the requested model.
func (c *Chat) Model() string { return c.model }

// Stream reports whether the client requested server-sent events.
func (c *Chat) Stream() bool { return c.stream }

// Messages returns the messages as the client sent them.
func (c *Chat) Messages() []json.RawMessage { return c.messages }

// Returning reports whether the chat already contains an answer.
func (c *Chat) Returning() bool { return c.returning }

// Key returns the routing hash of the chat, from what stays the same as the chat grows: the chat ID given by the
// client, or the messages up to and including the first user message. The system prompt alone is never the key, because
// all chats of a client account share it and would be routed to one engine.
func (c *Chat) Key(account, chatID string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(account + "\x00" + c.model + "\x00")
	if chatID == "" {
		chatID = c.cacheKey
	}
	if chatID != "" {
		_, _ = h.WriteString(chatID)
		return h.Sum64()
	}
	for _, raw := range c.messages[:c.openingLength] {
		_, _ = h.Write(compactJSON(raw))
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

func compactJSON(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}

// ResumeBody returns a request body that asks an engine to continue after the text that the client has already
// received.
func (c *Chat) ResumeBody(text string) (body []byte, err error) {
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
