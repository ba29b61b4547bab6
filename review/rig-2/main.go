// Command rig2 plays the cases of the second review that are scripts: it starts the project's
// programs as separate processes on loopback, between small stand-ins for the platform's store,
// endpoints, routers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// scenarios are the cases by name. Each reports whether its rule was broken.
var scenarios = map[string]func(w *World, trouble bool) (broken bool, err error){
	"torn":   playTorn,
	"revoke": playRevoke,
	"added":  playAdded,
	"leave":  playLeave,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, in the repository's root")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	w, err := NewWorld(record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return exitNotRun
	}
	defer w.Close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](w, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			record.Say("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			record.Say("the rule was broken")
			return exitBroken
		}
		record.Say("the rule held")
		return exitHeld
	case <-interrupted:
		record.Say("the case was interrupted")
	case <-time.After(maxTime):
		record.Say("the case took too long")
	}
	return exitNotRun
}
