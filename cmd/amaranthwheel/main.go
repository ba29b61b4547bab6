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
	// quic-go reads from a socket of the daemon's, whose receive buffer is sized
	// before quic-go gets it, so its warning does not apply.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	// A SIGHUP that arrives before the daemon handles it must not terminate the
	// process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := daemon.Command(os.Stdout, os.Stderr).Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(daemon.ExitCode(err))
}
