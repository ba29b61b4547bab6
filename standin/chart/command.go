package chart

import (
	"context"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/standin/reconcile"
)

// Command returns the subcommand that prints service over time.
func Command() *cli.Command {
	var callers []string
	return &cli.Command{
		Name:  "chart",
		Usage: "print service over time out of callers' ledgers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "caller", Usage: "pattern of callers' ledger files", Required: true, Destination: &callers},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			ledgers, err := reconcile.ReadCallers(callers)
			if err != nil {
				return err
			}
			Print(cmd.Root().Writer, Merge(ledgers))
			Summary(cmd.Root().Writer, ledgers)
			PrintImbalance(cmd.Root().Writer, ledgers)
			return nil
		},
	}
}
