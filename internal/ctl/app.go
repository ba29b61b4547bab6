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
	// initialPollInterval is the first pause of a wait; each is twice the one
	// before.
	initialPollInterval = 50 * time.Millisecond
	// defaultMaxPollInterval is the longest pause of a wait.
	defaultMaxPollInterval = 500 * time.Millisecond
)

// App is amaranthctl with what it needs from outside.
type App struct {
	Stdout, Stderr io.Writer
	// OpenStore opens the configuration in the store.
	OpenStore func(StoreSettings) ConfigStore
	// Now returns the time that is written into changes.
	Now func() time.Time
	// NewChangeID returns a unique ID for a change.
	NewChangeID func() string
	// MaxPollInterval is the longest pause before a wait asks the nodes again.
	MaxPollInterval time.Duration
	// running is set once the command line has been accepted.
	commandAccepted bool
}

// New returns an App that writes to the given outputs and talks to a real
// store.
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

// Run runs the command line, the program's name first, and returns the exit
// code.
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

// action marks the command line as accepted before the action runs.
func (a *App) wrapAction(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		a.commandAccepted = true
		return run(ctx, cmd)
	}
}

// changeIDBytes is the size of a change ID before it is printed in
// hexadecimal.
const changeIDBytes = 16

// newChangeID returns a random change ID.
func newChangeID() string {
	var id [changeIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
