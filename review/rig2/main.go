// Command rig2 plays the scripted cases of the second review: it starts the routers of a small deployment as processes, with
// stand-ins of the platform's store, of servers and of clients around them, and judges what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what broke its rule, nothing if the rule held.
var cases = map[string]func(r *rig) (broken []string, err error){
	"unmarked-refusal":    unmarkedRefusal,
	"torn-extra":          tornExtra,
	"readers-turned-away": readersTurnedAway,
	"server-gone":         serverGone,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/savoryfall", "the router's program")
	record := flag.String("record", "record.txt", "the file to write what was sent, answered and run to")
	flag.Parse()
	os.Exit(play(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

// play plays one case and returns the exit code of the process.
func play(name, program, record string, trouble bool) (code int) {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	r, err := newRig(program, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	broken, err := run(r)
	err = r.close(err)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.note("BROKEN %s", b)
	}
	r.note("verdict: %d breaks, trouble %v", len(broken), trouble)
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	fmt.Printf("%s: %d breaks, trouble %v\n", name, len(broken), trouble)
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
