package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
	"savoryfall/io/standin/engine"
)

const fastPeers = `period = "100ms"
`

func start(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	if o.ExtraSettings == nil {
		o.ExtraSettings = map[string]string{"peers": fastPeers, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n"}
	}
	o.Engine.StepInterval = 2 * time.Millisecond
	f := fleet.New(o, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	assert.NilError(t, f.Start(ctx))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		assert.Check(t, f.Stop(ctx))
	})
	return f
}

func client(f *fleet.Fleet, router int) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+f.Routers()[router].CallerAddress()+"/v1"),
		option.WithAPIKey(fleet.APIKey("guardia")), option.WithMaxRetries(0),
	)
}

func params(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "sur-large",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func TestStreamedCompletionIsComplete(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 2})
	for i := range 3 {
		c := client(f, i)
		s := c.Chat.Completions.NewStreaming(t.Context(), params("quota #20"))
		var all openai.ChatCompletionAccumulator
		for s.Next() {
			assert.Assert(t, all.AddChunk(s.Current()))
		}
		assert.NilError(t, s.Err())
		assert.Equal(t, all.Choices[0].Message.Content, engine.ExpectedAnswer([]byte(`[{"role":"user","content":"quota #20"}]`)))
	}
}
