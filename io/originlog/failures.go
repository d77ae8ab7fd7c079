package originlog

import "sync"

// failures has the calls of which the newest has failed. The zero value has none.
type failures struct {
	mu    sync.Mutex
	calls map[string]bool
}

// set records the outcome of a call, and reports whether it failed and the one before did not.
func (f *failures) set(call string, failed bool) (first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[string]bool{}
	}
	first = failed && !f.calls[call]
	f.calls[call] = failed
	return first
}
