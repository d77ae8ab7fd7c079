package command

import (
	"os/signal"
	"syscall"
)

// ignoreBrokenPipe keeps the process running when the reader of its log exits, for instance when a log collector
// restarts. By default, the Go runtime ends a process that writes to a broken pipe on standard output or standard
// error, and all open requests with it. With SIGPIPE ignored, the write returns an error and only the log line is lost.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
