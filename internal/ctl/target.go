package ctl

import (
	"context"
	"path"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

func (a *App) targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "drain targets",
		Commands: []*cli.Command{
			a.targetStateCommand("drain", "send no new work to a target; its flows and requests finish", true),
			a.targetStateCommand("undrain", "send new work to a target again", false),
		},
	}
}

func (a *App) targetStateCommand(name, usage string, drain bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{noteFlag(), waitFlag()},
		Action: a.wrapAction(func(ctx context.Context, cmd *cli.Command) error {
			args, err := parseArguments(cmd, "NAME")
			if err != nil {
				return err
			}
			return a.changeState(ctx, cmd, targetStateChange(name, args[0], drain))
		}),
	}
}

// targetStateChange returns the change that drains a target or ends its drain.
func targetStateChange(verb, name string, drain bool) stateChange {
	return stateChange{
		description: "target " + verb + " " + name,
		object: model.Object{
			Key:         model.ObjectKey{Kind: model.KindTargetState, Name: name},
			TargetState: &model.TargetState{Name: model.TargetName(name), Drain: drain},
		},
		check: func(c *model.Config) error { return requireTarget(c, name, drain) },
	}
}

// requireTarget returns an error unless some service may use the target or, for
// undrain, the target is drained. Targets themselves are not declared.
func requireTarget(c *model.Config, name string, drain bool) error {
	if !drain && c.TargetDrained(model.TargetName(name)) {
		return nil
	}
	for _, s := range c.Services() {
		if matchesAny(s.Targets, name) {
			return nil
		}
	}
	return inputErrorf("no service in version %d may use a target named %q", c.Version, name)
}

func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			return true
		}
	}
	return false
}
