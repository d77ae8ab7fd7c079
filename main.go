// Command savoryfall routes client requests, mostly multi-turn chats, to model engines and plain services.
package main

import (
	"os"

	"savoryfall/io/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
