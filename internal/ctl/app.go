package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// initialPollInterval is the first interval between two rounds of queries
	// of a wait. It doubles after each round.
	initialPollInterval = 50 * time.Millisecond
	// defaultMaxPollInterval is the upper limit of that interval.
	defaultMaxPollInterval = 500 * time.Millisecond
)

// App is amaranthctl with its external dependencies.
type App struct {
	Stdout, Stderr io.Writer
	// OpenStore opens the configuration in the store.
	OpenStore func(StoreSettings) ConfigStore
	// Now returns the time that is recorded with a change.
	Now func() time.Time
	// NewChangeID returns a unique ID for a change.
	NewChangeID func() string
	// MaxPollInterval is the upper limit of the interval at which a wait
	// queries the nodes.
	MaxPollInterval time.Duration
	// commandAccepted is set once the command line has been parsed and an
	// action begins. An error before that is bad input.
	commandAccepted bool
}

// New returns an App that writes to the given outputs and uses a real store.
func New(stdout, stderr io.Writer) *App {
	return &App{
		Stdout:          stdout,
		Stderr:          stderr,
		OpenStore:       OpenStore,
		Now:             time.Now,
		NewChangeID:     newChangeID,
		MaxPollInterval: defaultMaxPollInterval,
	}
}

// Run executes the command line, which starts with the name of the program, and
// returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.commandAccepted = false
	err := a.Command().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.Stderr, "amaranthctl: "+err.Error())
	if !a.commandAccepted {
		return ExitBadInput
	}
	return exitCode(err)
}

// wrapAction returns the action so that it records first that the command line
// was accepted.
func (a *App) wrapAction(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		a.commandAccepted = true
		return run(ctx, cmd)
	}
}

// changeIDBytes is the size of a change ID before hexadecimal encoding.
const changeIDBytes = 16

// newChangeID returns a random change ID.
func newChangeID() string {
	var id [changeIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
