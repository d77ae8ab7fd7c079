package fleet_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
)

const (
	// engineDown is how long a crashed engine takes to be back.
	engineDown = time.Second
	// maxCrashes is how many engines one chat may crash: three, those that it reaches before all routers know of the third, and a trial.
	maxCrashes = 8
)

// crashFleet is a fleet whose engines crash on a chat and come back.
type crashFleet struct {
	*fleet.Fleet
	t  *testing.T
	mu sync.Mutex
	// crashes are the times of the crashes.
	crashes []time.Time
}

// crashOn makes the engine crash on the text, each time that it is back.
func (f *crashFleet) crashOn(ctx context.Context, name, text string) {
	var once sync.Once
	f.Engine(name).CrashOn(text, func() {
		once.Do(func() {
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			go func() {
				address := f.KillEngine(name)
				select {
				case <-ctx.Done():
				case <-time.After(engineDown):
					assert.Check(f.t, f.StartEngine(ctx, name, address))
					f.crashOn(ctx, name, text)
				}
			}()
		})
	})
}

// Guards against a chat that crashes engines, and is sent to one after the other whenever its client sends it again.
func TestChatThatCrashesEngines(t *testing.T) {
	f := &crashFleet{t: t, Fleet: start(t, fleet.Options{Routers: 3, Engines: 8})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for name := range f.Engines() {
		f.crashOn(ctx, name, "poison")
	}
	refused, n := 0, 0
	for began := time.Now(); time.Since(began) < 8*time.Second; n++ {
		c := client(f.Fleet, n%3)
		_, err := c.Chat.Completions.New(ctx, params("poison"))
		var problem *openai.Error
		if errors.As(err, &problem) && problem.StatusCode == 503 {
			refused++
		}
		_, err = c.Chat.Completions.New(ctx, params("quota #20"))
		assert.Check(t, err == nil || time.Since(began) < 3*time.Second, "%v after %v", err, time.Since(began))
		<-time.After(50 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d crashes; %d of %d chats refused", len(f.crashes), refused, n)
	assert.Assert(t, len(f.crashes) <= maxCrashes, "%d crashes", len(f.crashes))
}
