package command

import (
	"os/signal"
	"syscall"
)

// outliveLogReader keeps the process when the reader of its log ends, be it a collector that is restarted: the runtime ends
// a process whose standard output or error is a broken pipe, and with it all requests. Ignored, the signal becomes an
// error of the write, which costs the line.
func outliveLogReader() { signal.Ignore(syscall.SIGPIPE) }
