// Command rig runs the cases of the review that are scripts: the system's own processes on
// loopback, between stand-ins for the platform, its endpoints and its clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// runLimit ends a run that hangs.
const runLimit = 110 * time.Second

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

var cases = map[string]func(*rig) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case err = <-done:
	case s := <-interrupted:
		err = fmt.Errorf("%w: %v", errSetup, s)
	case <-time.After(runLimit):
		err = fmt.Errorf("%w: time limit", errSetup)
	}
	r.mu.Lock()
	broken, other := slices.Clone(r.broken), slices.Clone(r.other)
	r.mu.Unlock()
	code := 0
	switch {
	case len(broken) > 0:
		code = 1
	case err != nil, len(other) > 0:
		code = 2
	}
	r.record("result: exit %d, %d times broken, %d other findings, error %v", code, len(broken), len(other), err)
	r.close()
	for _, b := range broken {
		fmt.Println("BROKEN", b)
	}
	for _, o := range other {
		fmt.Println("OTHER", o)
	}
	if err != nil {
		fmt.Println(err)
	}
	fmt.Printf("%s: exit %d\n", os.Args[1], code)
	os.Exit(code)
}
