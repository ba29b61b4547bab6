package ctl

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the flags.
const (
	flagConfig   = "config"
	flagCluster  = "cluster"
	flagStore    = "store"
	flagBalancer = "balancer"
	flagTimeout  = "timeout"
	flagOutput   = "output"
	flagAuthor   = "author"
	flagBase     = "base"
	flagNote     = "note"
	flagWait     = "wait"
	flagLimit    = "limit"
	flagChange   = "change"
	flagService  = "service"
)

// Defaults of the flags.
const (
	defaultTimeout      = 10 * time.Second
	defaultWait         = 19 * time.Second
	defaultHistoryLimit = 20
	defaultFlowLimit    = 100
)

// Command returns the command tree.
func (a *App) Command() *cli.Command {
	root := &cli.Command{
		Name:            "amaranthctl",
		Usage:           "check, apply and inspect the configuration of Amaranthwheel",
		Flags:           globalFlags(),
		Writer:          a.Stdout,
		ErrWriter:       a.Stderr,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			a.checkCommand(),
			a.diffCommand(),
			a.applyCommand(),
			a.getCommand(),
			a.historyCommand(),
			a.domainCommand(),
			a.targetCommand(),
			a.statusCommand(),
			a.flowsCommand(),
			a.explainCommand(),
			a.directCommand(),
		},
	}
	requireSubcommands(root)
	return root
}

// globalFlags returns the flags of the root command, which all commands accept.
func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "client settings `FILE`", Sources: cli.EnvVars("AMARANTH_CONFIG")},
		&cli.StringFlag{Name: flagCluster, Usage: "`NAME` of the cluster in the store", Sources: cli.EnvVars("AMARANTH_CLUSTER")},
		&cli.StringSliceFlag{Name: flagStore, Usage: "store gateway `http://IP:PORT`; repeatable", Sources: cli.EnvVars("AMARANTH_STORE")},
		&cli.StringSliceFlag{Name: flagBalancer, Usage: "admin address `IP:PORT` of a balancer; repeatable", Sources: cli.EnvVars("AMARANTH_BALANCERS")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit for all store calls of one command", Value: defaultTimeout},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "output `FORMAT`: table or json", Value: string(formatTable)},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` recorded with changes; the default is $USER", Sources: cli.EnvVars("AMARANTH_AUTHOR")},
	}
}

// waitFlag returns the flag of commands that wait until a change is in force.
func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagWait, Usage: "how long to wait until every node has the change; 0s does not wait", Value: defaultWait}
}

// noteFlag returns the flag of commands that record a change.
func noteFlag() cli.Flag {
	return &cli.StringFlag{Name: flagNote, Usage: "`TEXT` recorded with the change"}
}

// requireSubcommands makes each command that only groups subcommands fail if
// none of them is named.
func requireSubcommands(cmd *cli.Command) {
	if len(cmd.Commands) > 0 {
		cmd.Action = subcommandError
	}
	for _, sub := range cmd.Commands {
		sub.HideHelpCommand = true
		requireSubcommands(sub)
	}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
}

// subcommandError reports a missing or unknown subcommand.
func subcommandError(_ context.Context, cmd *cli.Command) error {
	var names []string
	for _, sub := range cmd.Commands {
		names = append(names, sub.Name)
	}
	if got := cmd.Args().First(); got != "" {
		return inputErrorf("%q is not a command of %s; want one of %s", got, cmd.FullName(), strings.Join(names, ", "))
	}
	return inputErrorf("%s needs a command: %s", cmd.FullName(), strings.Join(names, ", "))
}

// parseArguments returns the positional arguments. Their number must be that of
// the names.
func parseArguments(cmd *cli.Command, names ...string) ([]string, error) {
	got := cmd.Args().Slice()
	if len(got) != len(names) {
		return nil, inputErrorf("%s takes %d arguments (%s), found %d", cmd.FullName(), len(names), strings.Join(names, " "), len(got))
	}
	return got, nil
}
