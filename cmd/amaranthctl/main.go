// Command amaranthctl is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"amaranthwheel.example/amaranthwheel/internal/ctl"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns its exit code. SIGINT and SIGTERM
// cancel the command.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.New(os.Stdout, os.Stderr).Run(ctx, os.Args)
}
