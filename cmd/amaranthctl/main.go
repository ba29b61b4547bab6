// Command amaranthctl is the operators' client.
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

// run runs the command line until it ends or is interrupted.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.New(os.Stdout, os.Stderr).Run(ctx, os.Args)
}
