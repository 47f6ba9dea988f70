// Command second runs one script case of the second independent review: it starts the
// project's own programs as processes on loopback addresses, with small stand-ins beside them,
// and checks one rule by what clients, servers and the store have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. Each returns the number of times that its rule was broken.
var cases = map[string]func(l *lab, trouble bool) (int, error){
	"second-answer":   runSecondAnswer,
	"slashes":         runSlashes,
	"pausing-readers": runPausingReaders,
	"steady-readers":  runSteadyReaders,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLab(ctx, filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	l.note("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](l, trouble)
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l.note("the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", os.Args[1], broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
