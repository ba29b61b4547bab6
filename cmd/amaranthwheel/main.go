// Command amaranthwheel runs the daemons: a balancer on an entry host, or an
// agent beside a target.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"amaranthwheel.example/amaranthwheel/internal/daemon"
)

func main() {
	// The socket that QUIC reads is ours and sized before QUIC sees it.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	// A hangup before the daemon listens for it must not end the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := daemon.Command(os.Stdout, os.Stderr).Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(daemon.ExitCode(err))
}
