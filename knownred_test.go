package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	detectorEnded = "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:1\nFAIL\tsavoryfall/io/listed\t3s\nFAIL\n"
	knownRed      = "TestListed: io/x. Seen: once.\nTestListed/sub: as above.\nio/listed: ended by the detector.\n"
)

// CI passes over exactly the failures that KNOWN-RED.txt names.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	assert.NilError(t, err)
	for _, tc := range []struct {
		name, output, list string
		// retest is the exit status of the tests without the race detector.
		retest string
		passes bool
		prints string
	}{
		{name: "listed test", output: "--- FAIL: TestListed (0.1s)\nFAIL\n", list: knownRed, passes: true, prints: "known red: TestListed: io/x. Seen: once."},
		{name: "listed subtest", output: "--- FAIL: TestListed (0.1s)\n    --- FAIL: TestListed/sub (0.1s)\nFAIL\n", list: knownRed, passes: true},
		{name: "other subtest", output: "--- FAIL: TestListed (0.1s)\n    --- FAIL: TestListed/other (0.1s)\n", list: knownRed, prints: "not in KNOWN-RED.txt: TestListed/other"},
		{name: "other test", output: "--- FAIL: TestOther (0.1s)\n", list: knownRed, prints: "not in KNOWN-RED.txt: TestOther"},
		{name: "listed and other test", output: "--- FAIL: TestListed (0.1s)\n--- FAIL: TestOther (0.1s)\n", list: knownRed, prints: "not in KNOWN-RED.txt: TestOther"},
		{name: "name that a listed one starts with", output: "--- FAIL: TestList (0.1s)\n", list: knownRed},
		{name: "empty list", output: "--- FAIL: TestListed (0.1s)\n", list: ""},
		{name: "no list", output: "--- FAIL: TestListed (0.1s)\n", list: "none"},
		{name: "panic beside a listed test", output: "--- FAIL: TestListed (0.1s)\npanic: x\n", list: knownRed},
		{name: "build failure beside a listed test", output: "--- FAIL: TestListed (0.1s)\nFAIL\tsavoryfall/io/y [build failed]\n", list: knownRed},
		{name: "failure without a name", output: "FAIL\tsavoryfall/io/y\t0.1s\n", list: knownRed},
		{name: "listed package ended by the detector", output: detectorEnded, list: knownRed, retest: "0", passes: true, prints: "known red: io/listed"},
		{name: "listed package that also fails without it", output: detectorEnded, list: knownRed, retest: "1"},
		{name: "other package ended by the detector", output: strings.Replace(detectorEnded, "listed", "other", 1), list: knownRed, retest: "0", prints: "not in KNOWN-RED.txt: io/other"},
		{name: "empty list, package ended by the detector", output: detectorEnded, list: "", retest: "0"},
		{name: "detector beside a listed test", output: "--- FAIL: TestListed (0.1s)\n" + detectorEnded, list: knownRed, retest: "0"},
		{name: "detector beside a data race", output: "WARNING: DATA RACE\n" + detectorEnded, list: knownRed, retest: "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			write := func(name, text string, mode os.FileMode) {
				assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), mode))
			}
			write("output", tc.output, 0o600)
			if tc.list != "none" {
				write("KNOWN-RED.txt", tc.list, 0o600)
			}
			write("go", "#!/bin/sh\nexit "+tc.retest+"\n", 0o700)
			cmd := exec.Command("bash", script, "output")
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
			out, err := cmd.CombinedOutput()
			assert.Equal(t, err == nil, tc.passes, "%s", out)
			assert.Assert(t, strings.Contains(string(out), tc.prints), "%s", out)
		})
	}
}
