package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// session is the use of the store by one command, bounded by --timeout.
type session struct {
	app      *App
	settings *settings
	store    ConfigStore
	// ctx expires after --timeout; commandCtx is canceled only if the command
	// is interrupted.
	ctx        context.Context
	commandCtx context.Context
	close      context.CancelFunc
}

// openSession reads the settings and opens the store that they name.
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

// newSession opens the store. The caller must call close.
func (a *App) newSession(ctx context.Context, s *settings) *session {
	opened := a.OpenStore(StoreSettings{Endpoints: s.endpoints, Cluster: s.cluster, Timeout: s.timeout})
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	return &session{app: a, settings: s, store: opened, ctx: bounded, commandCtx: ctx, close: cancel}
}

// plan holds the changes that applying a declared file would make.
type plan struct {
	current *model.Config
	desired []model.Object
	changes []declare.Change
}

// makePlan compares a declared file with the configuration in the store and
// validates the resulting configuration.
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
	if err := declare.Validate(declare.ApplyChanges(current, changes)); err != nil {
		return nil, err
	}
	return &plan{current, desired, changes}, nil
}
