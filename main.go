// Command savoryfall routes client requests, mostly multi-turn chats, to model engines and plain services.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"savoryfall/io/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
