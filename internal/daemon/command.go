// Package daemon implements the command line of amaranthwheel and assembles
// the daemons.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Exit codes of amaranthwheel.
const (
	ExitOK = 0
	// ExitFailure means that the daemon could not start or run.
	ExitFailure = 1
	// ExitBadInput means that the command line or the settings are wrong.
	ExitBadInput = 2
)

const (
	flagConfig = "config"
	flagCheck  = "check"
)

// Command returns the command line of amaranthwheel. Logs go to stderr.
func Command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "amaranthwheel",
		Usage:     "a layer-4 load balancer",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			roleCommand("balancer", "forward callers' datagrams, on an entry host", settings.LoadBalancer,
				func(ctx context.Context, s *settings.Balancer) error { return runBalancer(ctx, stderr, s) }),
			roleCommand("agent", "end flows and admit requests, beside a target", settings.LoadAgent,
				func(ctx context.Context, s *settings.Agent) error { return runAgent(ctx, stderr, s) }),
			directCommand(stdout),
		},
	}
}

// roleCommand returns the subcommand of one role, which reads its settings
// and runs until the context ends.
func roleCommand[S any](name, usage string, load func(string) (*S, error), run func(context.Context, *S) error) *cli.Command {
	return roleCommandAt("", name, usage, load, func(ctx context.Context, _ string, s *S) error { return run(ctx, s) })
}

// roleCommandAt is roleCommand with a default path of the settings; none if it
// is empty.
func roleCommandAt[S any](path, name, usage string, load func(string) (*S, error), run func(ctx context.Context, path string, s *S) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` in TOML", Value: path, Required: path == ""},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := load(c.String(flagConfig))
			if err != nil {
				return err
			}
			if c.Bool(flagCheck) {
				fmt.Fprintln(c.Root().Writer, "Settings are valid.")
				return nil
			}
			return run(ctx, c.String(flagConfig), s)
		},
	}
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var bad *findings.Error
	var run *RunError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &bad):
		return ExitBadInput
	case errors.As(err, &run):
		return ExitFailure
	}
	// What is left are mistakes on the command line.
	return ExitBadInput
}

// RunError reports that a daemon could not start or stop.
type RunError struct {
	Err error
}

// Error returns the cause.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }
