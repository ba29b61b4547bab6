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
	// ExitFailure means that the daemon failed to start or stop.
	ExitFailure = 1
	// ExitBadInput means that the command line or the settings are invalid.
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
			roleCommand("agent", "terminate flows and admit requests, on a target's host", settings.LoadAgent,
				func(ctx context.Context, s *settings.Agent) error { return runAgent(ctx, stderr, s) }),
			directCommand(stdout),
		},
	}
}

// roleCommand returns the subcommand of one role, which loads the settings and
// runs the daemon until the context is done.
func roleCommand[S any](name, usage string, load func(string) (*S, error), runDaemon func(context.Context, *S) error) *cli.Command {
	return roleCommandWithDefaultPath("", name, usage, load, func(ctx context.Context, _ string, s *S) error { return runDaemon(ctx, s) })
}

// roleCommandWithDefaultPath is like roleCommand, but with a default path of the
// settings. If the path is empty, the flag is required.
func roleCommandWithDefaultPath[S any](path, name, usage string, load func(string) (*S, error), runDaemon func(ctx context.Context, path string, s *S) error) *cli.Command {
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
			return runDaemon(ctx, c.String(flagConfig), s)
		},
	}
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var invalidInput *findings.Error
	var runErr *RunError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalidInput):
		return ExitBadInput
	case errors.As(err, &runErr):
		return ExitFailure
	}
	// All other errors are errors on the command line.
	return ExitBadInput
}

// RunError means that a daemon failed to start or stop.
type RunError struct {
	Err error
}

// Error implements error.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *RunError) Unwrap() error { return e.Err }
