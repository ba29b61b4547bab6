// Command standin runs a case of the review: the product's processes between stand-ins for the
// store, the routers, endpoints and clients, on loopback addresses.
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
	exitFailed = 2
)

// maxRun bounds the run of a case.
const maxRun = 110 * time.Second

var cases = map[string]func(*world) (broken bool, err error){
	"checkin":      lateCheckIn,
	"firstcheckin": lateFirst,
	"unannounced":  unannounced,
	"halfopen":     halfOpen,
	"revision":     highRevision,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return exitFailed
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.log("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitFailed
		case r.broken:
			w.log("result: the rule is broken")
			return exitBroken
		}
		w.log("result: the rule held")
		return exitHeld
	case <-stop:
	case <-time.After(maxRun):
	}
	w.log("could not run: ended early")
	return exitFailed
}
