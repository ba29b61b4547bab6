package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

// readHeaderTimeout bounds the wait for a request's header.
const readHeaderTimeout = 5 * time.Second

// Command runs the stand-in until its context ends.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a store that speaks a subset of the etcd v3 JSON gateway",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "ip:port of the gateway"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:2380", Usage: "ip:port of the fault switches"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return listenAndServe(ctx, New(), cmd.String("listen"), cmd.String("admin"))
		},
	}
}

// listenAndServe serves both addresses until the context ends or one fails.
func listenAndServe(ctx context.Context, s *Server, listen, admin string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	servers := []*http.Server{
		{Addr: listen, Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout},
		{Addr: admin, Handler: s.AdminHandler(), ReadHeaderTimeout: readHeaderTimeout},
	}
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return err
		}
		defer server.Close()
		go func() { cancel(server.Serve(listener)) }()
	}
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
