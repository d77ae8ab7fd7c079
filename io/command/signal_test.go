package command_test

import (
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pipeSize is at least the capacity in bytes of a pipe.
const pipeSize = 1 << 20

// fullPipe returns a pipe that is full: a process that writes to it blocks until somebody reads.
func fullPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = r.Close()
		_ = w.Close()
	})
	assert.NilError(t, w.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = w.Write(make([]byte, pipeSize))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return r, w
}

// Guards against a signal that ends a process on its way out, so that the platform sees a crash instead of the exit
// status. The process is held at its last message, the error of its settings.
func TestSignalsOnTheWayOutKeepExitStatus(t *testing.T) {
	for _, command := range []string{"entry", "router"} {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			t.Run(command+" "+sig.String(), func(t *testing.T) {
				t.Parallel()
				r, w := fullPipe(t)
				cmd, settings := startWithSettingsPipe(t, command, w)
				t.Cleanup(func() { _ = cmd.Process.Kill() })
				assert.NilError(t, w.Close())
				_, err := settings.WriteString("[vm]\nname = 1\n")
				assert.NilError(t, err)
				assert.NilError(t, settings.Close())
				const signals = 50
				for range signals {
					assert.NilError(t, cmd.Process.Signal(sig))
					time.Sleep(5 * time.Millisecond)
				}
				out, err := io.ReadAll(r)
				assert.NilError(t, err)
				_ = cmd.Wait()
				assert.Equal(t, cmd.ProcessState.String(), "exit status 1")
				assert.Assert(t, strings.Contains(string(out), "vm.name"))
			})
		}
	}
}

// Guards against a signal that ends a process between its last log line and its exit.
func TestSignalsAfterTheLastLogLineKeepExitStatus(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			cmd, lines, _, _ := startRouter(t, "entry", entrySettings)
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
			for stopped := false; !stopped && lines.Scan(); {
				stopped = strings.Contains(lines.Text(), "event=stopped")
			}
			exited := make(chan struct{})
			go func() {
				defer close(exited)
				_ = cmd.Wait()
			}()
			for running := true; running; {
				_ = cmd.Process.Signal(sig)
				select {
				case <-exited:
					running = false
				case <-time.After(2 * time.Millisecond):
				}
			}
			assert.Equal(t, cmd.ProcessState.String(), "exit status 0")
		})
	}
}
