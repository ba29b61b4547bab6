package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"
)

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 5 * time.Second

// Command returns the subcommand that runs a TCP relay until its context is cancelled.
func Command() *cli.Command {
	var listen, upstream, admin string
	return &cli.Command{
		Name:  "relay",
		Usage: "forward TCP connections and stall them on request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true, Destination: &listen},
			&cli.StringFlag{Name: "to", Usage: "address to forward connections to", Required: true, Destination: &upstream},
			&cli.StringFlag{Name: "admin", Usage: "address of the control endpoints", Required: true, Destination: &admin},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, listen, upstream, admin) },
	}
}

func run(ctx context.Context, listen, upstream, admin string) error {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	r, err := Start(listen, upstream, log.With(logger, "ts", log.DefaultTimestampUTC))
	if err != nil {
		return err
	}
	defer r.Close()
	listener, err := net.Listen("tcp", admin)
	if err != nil {
		return fmt.Errorf("listen on the admin address: %w", err)
	}
	server := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// adminHandler serves POST /cut, which stalls all connections (on=true) or resumes
// them (on=false).
func (r *Relay) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, req *http.Request) {
		on, err := strconv.ParseBool(req.URL.Query().Get("on"))
		if err != nil {
			http.Error(w, "on must be true or false", http.StatusBadRequest)
			return
		}
		fault := None
		if on {
			fault = Stalled
		}
		r.SetFault(fault)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
