package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// servers are the commands that run until they are stopped. A hangup asks them to read their settings again and must
// not end them, whereas it ends the other commands, as usual when a terminal is closed.
var servers = map[string]bool{"entry": true, "router": true}

// Main runs the command that args name and returns the exit code of the process. Signals are handled from here on until
// the process has exited: a signal that arrives between the end of the handling and the exit would replace the exit
// code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	if len(args) > 0 && servers[args[0]] {
		catchHangups()
	}
	// The context's signals stay caught after the command has returned.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return Run(ctx, args, stdout, stderr)
}

// catchHangups returns a channel that receives a value after one or more hangups. By default, a hangup ends the process.
func catchHangups() (hangup <-chan os.Signal) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// ignoreBrokenPipe keeps the process running when the reader of its log exits, for instance when a log collector
// restarts. By default, the Go runtime ends a process that writes to a broken pipe on standard output or standard
// error, and all open requests with it. With SIGPIPE ignored, the write returns an error and only the log line is lost.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
