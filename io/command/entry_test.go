package command_test

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// starting runs a router whose settings are a pipe, so that it waits in its start until they are written. It returns when
// the router has opened them.
func starting(t *testing.T, command string) (cmd *exec.Cmd, out *strings.Builder, settings *os.File) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	cmd = exec.Command("savoryfall", command, "--settings", file)
	out = &strings.Builder{}
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	return cmd, out, settings
}

// A VM's settings change just after its router was started: the platform signals a process that has not read them yet.
// The process ended by the signal, and its clients with it. It must go on and take what it reads, here a fault.
func TestHangupWhileStartingEndsNothing(t *testing.T) {
	for _, command := range []string{"entry", "router"} {
		t.Run(command, func(t *testing.T) {
			cmd, out, settings := starting(t, command)
			assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
			_, err := settings.WriteString("[vm]\nname = 1\n")
			assert.NilError(t, err)
			assert.NilError(t, settings.Close())
			_ = cmd.Wait()
			assert.Assert(t, cmd.ProcessState.Exited(), "%s", cmd.ProcessState)
			assert.Assert(t, strings.Contains(out.String(), "vm.name"), out.String())
		})
	}
}

const entryText = `
[vm]
name = "vm0"
failureDomain = "a"
[clients]
address = "127.0.0.1:0"
[readiness]
address = "127.0.0.1:0"
[metrics]
address = "127.0.0.1:0"
[peers]
address = "127.0.0.1:0"
[store]
address = "127.0.0.1:1"
[stop]
grace = "1s"
`

const routerText = `
[vm]
name = "vm0"
failureDomain = "a"
[callers]
address = "127.0.0.1:0"
lameDuck = "200ms"
[operators]
address = "127.0.0.1:0"
[peers]
address = "127.0.0.1:0"
[platform]
log = "http://127.0.0.1:1"
vmList = "http://127.0.0.1:1"
`

// running runs a router, without any platform, and returns when it serves its clients at the address that it logs.
func running(t *testing.T, command, settings string) (cmd *exec.Cmd, lines *bufio.Scanner, log *os.File, address string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	log, w, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	cmd = exec.Command("savoryfall", command, "--settings", file)
	cmd.Stdout, cmd.Stderr = w, w
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	assert.NilError(t, w.Close())
	lines = bufio.NewScanner(log)
	started := regexp.MustCompile(`event=started (?:clients|callers)=(\S+)`)
	for lines.Scan() {
		if m := started.FindStringSubmatch(lines.Text()); m != nil {
			return cmd, lines, log, m[1]
		}
	}
	t.Fatalf("not started: %v", lines.Err())
	return nil, nil, nil, ""
}

// ended tells the router to stop, and compares how it ended.
func ended(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.String(), "exit status 0")
}

// The reader of a router's log ends while clients are served. The next line met a broken pipe, and the signal that this
// brings ended the process under all its clients. Lines may be lost, but requests must be answered on.
func TestLogReaderThatEndsCostsNoRequest(t *testing.T) {
	t.Parallel()
	for command, settings := range map[string]string{"entry": entryText, "router": routerText} {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			cmd, _, log, address := running(t, command, settings)
			assert.NilError(t, log.Close())
			for range 20 {
				resp, err := http.Get("http://" + address + "/read/x")
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				time.Sleep(10 * time.Millisecond)
			}
			ended(t, cmd)
		})
	}
}

// A router on release notes gets the signal by which others are told of changed settings. It ended, and every request on
// it was cut. It must serve on and say that its settings stay; the same signal must not cut the requests that it lets end
// when it stops.
func TestHangupEndsNoRouter(t *testing.T) {
	t.Parallel()
	cmd, lines, _, address := running(t, "router", routerText)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	told := false
	for !told && lines.Scan() {
		told = strings.Contains(lines.Text(), "event=settingsKept")
	}
	assert.Assert(t, told, "%v", lines.Err())
	resp, err := http.Get("http://" + address + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.String(), "exit status 0")
}
