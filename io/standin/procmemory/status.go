package procmemory

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"savoryfall/core/annotate"
)

// AnonymousMB returns the resident memory in MB of a process that belongs to no file, 0 if the process has ended and was not waited for.
func AnonymousMB(pid int) (mb int, err error) {
	defer annotate.Error(&err, "read memory of process %d", pid)
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, is := strings.CutPrefix(line, "RssAnon:"); is {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10, err
		}
	}
	return 0, nil
}
