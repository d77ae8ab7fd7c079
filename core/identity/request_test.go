package identity_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/identity"
	"savoryfall/core/prompt"
)

func turn() identity.Request {
	return identity.Request{
		Method: "POST", Host: "shop.example", Target: "/draft/x", Model: "m", Prompt: prompt.Chain{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 20}},
		Body: []byte("text"),
	}
}

// Guards against two requests that are taken for one, so that a sound one is refused.
func TestDifferentRequestsDiffer(t *testing.T) {
	for name, change := range map[string]func(r *identity.Request){
		"method":      func(r *identity.Request) { r.Method = "PUT" },
		"host":        func(r *identity.Request) { r.Host = "mill.example" },
		"path":        func(r *identity.Request) { r.Target = "/draft/y" },
		"query":       func(r *identity.Request) { r.Target = "/draft/x?page=2" },
		"model":       func(r *identity.Request) { r.Model = "n" },
		"last part":   func(r *identity.Request) { r.Prompt[1].ID = 3 },
		"next turn":   func(r *identity.Request) { r.Prompt[1].Tokens = 90 },
		"fewer parts": func(r *identity.Request) { r.Prompt = r.Prompt[1:] },
		"body":        func(r *identity.Request) { r.Body = []byte("other text") },
		"no body":     func(r *identity.Request) { r.Body = nil },
		"moved text":  func(r *identity.Request) { r.Host, r.Target = "shop.example/draft", "/x" },
	} {
		t.Run(name, func(t *testing.T) {
			r := turn()
			change(&r)
			assert.Assert(t, r.Hash() != turn().Hash())
		})
	}
	assert.Equal(t, turn().Hash(), turn().Hash())
}

func BenchmarkHash(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "4 KB": 4 << 10, "1 MB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			r := turn()
			r.Body = make([]byte, size)
			for b.Loop() {
				r.Hash()
			}
		})
	}
}
