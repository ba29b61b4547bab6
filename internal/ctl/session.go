package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// session is one command's use of the store, bounded by --timeout.
type session struct {
	app      *App
	settings *settings
	store    ConfigStore
	// ctx ends after --timeout, parent only when the command is interrupted.
	ctx        context.Context
	commandCtx context.Context
	close      context.CancelFunc
}

// openSession reads the settings and opens the store they name.
func (a *App) openSession(ctx context.Context, cmd *cli.Command) (*session, error) {
	s, err := readSettings(cmd)
	if err != nil {
		return nil, err
	}
	if err := s.requireStore(); err != nil {
		return nil, err
	}
	return a.newSession(ctx, s), nil
}

// newSession opens the store; close must be called.
func (a *App) newSession(ctx context.Context, s *settings) *session {
	opened := a.OpenStore(StoreSettings{Endpoints: s.endpoints, Cluster: s.cluster, Timeout: s.timeout})
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	return &session{app: a, settings: s, store: opened, ctx: bounded, commandCtx: ctx, close: cancel}
}

// plan is what applying a declared file would change.
type plan struct {
	current *model.Config
	desired []model.Object
	changes []declare.Change
}

// plan compares a declared file with the configuration in the store, and
// checks that the result holds together.
func (s *session) makePlan(path string) (*plan, error) {
	desired, err := readDeclaredFile(path)
	if err != nil {
		return nil, err
	}
	current, err := loadConfig(s.ctx, s.store)
	if err != nil {
		return nil, err
	}
	changes := declare.Diff(current, desired)
	if err := declare.Validate(declare.Applied(current, changes)); err != nil {
		return nil, err
	}
	return &plan{current, desired, changes}, nil
}
