package command_test

import (
	"bufio"
	"io"
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

// startWithSettingsPipe starts a router whose settings file is a named pipe, so that its startup blocks until the
// settings are written. It returns when the router has opened the pipe.
func startWithSettingsPipe(t *testing.T, command string, out io.Writer) (cmd *exec.Cmd, settings *os.File) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	cmd = exec.Command("savoryfall", command, "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	return cmd, settings
}

// Guards against SIGHUP ending a process that is still starting: the platform sends it when settings change, also
// before the process has read its settings. The process must go on and read the settings, here invalid ones.
func TestHangupDuringStartupDoesNotKill(t *testing.T) {
	for _, command := range []string{"entry", "router"} {
		t.Run(command, func(t *testing.T) {
			out := &strings.Builder{}
			cmd, settings := startWithSettingsPipe(t, command, out)
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

const entrySettings = `
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

const routerSettings = `
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

// startRouter starts a router without a platform and waits until it logs the address at which it serves clients.
func startRouter(t *testing.T, command, settings string) (cmd *exec.Cmd, lines *bufio.Scanner, log *os.File, address string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	cmd = exec.Command("savoryfall", command, "--settings", file)
	lines, log, address = startProcess(t, cmd)
	return cmd, lines, log, address
}

// startProcess starts the command of a router and waits until it logs the address at which it serves clients.
func startProcess(t *testing.T, cmd *exec.Cmd) (lines *bufio.Scanner, log *os.File, address string) {
	t.Helper()
	log, w, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	cmd.Stdout, cmd.Stderr = w, w
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	assert.NilError(t, w.Close())
	lines = bufio.NewScanner(log)
	started := regexp.MustCompile(`event=started (?:clients|callers)=(\S+)`)
	output := ""
	for lines.Scan() {
		if m := started.FindStringSubmatch(lines.Text()); m != nil {
			return lines, log, m[1]
		}
		output += lines.Text() + "\n"
	}
	t.Fatalf("router did not start: %v\n%s", lines.Err(), output)
	return nil, nil, ""
}

// stopAndCheckExit sends SIGTERM and checks that the router exits with status 0.
func stopAndCheckExit(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.String(), "exit status 0")
}

// Guards against SIGPIPE ending the process when the reader of its log exits while clients are served. Log lines may be
// lost, but requests must still be answered.
func TestRequestsSurviveClosedLogPipe(t *testing.T) {
	t.Parallel()
	for command, settings := range map[string]string{"entry": entrySettings, "router": routerSettings} {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			cmd, _, log, address := startRouter(t, command, settings)
			assert.NilError(t, log.Close())
			for range 20 {
				resp, err := http.Get("http://" + address + "/read/x")
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				time.Sleep(10 * time.Millisecond)
			}
			stopAndCheckExit(t, cmd)
		})
	}
}

// Guards against SIGHUP, the signal for changed settings, ending a router that doesn't support reloading, and all its
// requests with it. The router must go on serving and log that it keeps its settings. SIGHUP during shutdown must not
// cut off the requests that are still open.
func TestHangupDoesNotStopRouter(t *testing.T) {
	t.Parallel()
	cmd, lines, _, address := startRouter(t, "router", routerSettings)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	logged := false
	for !logged && lines.Scan() {
		logged = strings.Contains(lines.Text(), "event=settingsKept")
	}
	assert.Assert(t, logged, "%v", lines.Err())
	resp, err := http.Get("http://" + address + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.String(), "exit status 0")
}
