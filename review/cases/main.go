// Command review plays the cases of the independent review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins of the callers, the
// servers and the platform, and checks one rule of the users' pages.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds the time of a case.
const playLimit = 110 * time.Second

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each plays with the disruption or without it.
var cases = map[string]func(w *world, trouble bool) error{
	"drain":    playDrain,
	"seeds":    playSeeds,
	"rollback": playRollback,
	"models":   playModels,
	"paths":    playPaths,
	"pauses":   playPauses,
	"entries":  playEntries,
}

func main() {
	os.Exit(run())
}

// run plays the case that the command line names and returns the exit code.
func run() int {
	record := flag.String("record", "record.txt", "write what was sent, answered and run to `FILE`")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: review -record FILE drain|seeds|rollback|models|paths|entries|pauses")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playLimit)
	defer cancel()
	w, err := newWorld(ctx, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %s, disruption %t", flag.Arg(0), trouble)
	err = play(w, trouble)
	switch {
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		fmt.Println(err)
		return exitBroken
	case err != nil:
		w.note("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
