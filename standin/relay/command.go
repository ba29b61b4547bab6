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

// readHeaderTimeout bounds the wait for a request's header.
const readHeaderTimeout = 5 * time.Second

// Command returns the subcommand that runs a relay until its context ends.
func Command() *cli.Command {
	var listen, to, admin string
	return &cli.Command{
		Name:  "relay",
		Usage: "pass TCP connections on, with a switch that cuts them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true, Destination: &listen},
			&cli.StringFlag{Name: "to", Usage: "address to pass connections on to", Required: true, Destination: &to},
			&cli.StringFlag{Name: "admin", Usage: "address of the control endpoints", Required: true, Destination: &admin},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, listen, to, admin) },
	}
}

func run(ctx context.Context, listen, to, admin string) error {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	r, err := Start(listen, to, log.With(logger, "ts", log.DefaultTimestampUTC))
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

// adminHandler serves POST /cut, which cuts the relay, or ends the cut with
// on=false.
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
			fault = Held
		}
		r.Set(fault)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
