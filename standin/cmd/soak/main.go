// Command soak runs the daemons for direct server return under faults drawn from
// seeds, and prints the promises that broke.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/standin/soak"
)

func main() {
	command := &cli.Command{
		Name:  "soak",
		Usage: "run the daemons for direct server return under random faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of amaranthwheel", Value: "bin/amaranthwheel"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; the time if 0"},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "`TIME` of faults a seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: "balancers", Usage: "`NUMBER` of balancers", Value: 2},
			&cli.IntFlag{Name: "agents", Usage: "`NUMBER` of agents, each beside a target; 250 at most", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "`NUMBER` of callers at a time", Value: 20},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for logs", Value: "out/soak"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	first := c.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano()) % 1_000_000
	}
	played, failed := 0, 0
	for seed := first; ctx.Err() == nil && seed < first+uint64(c.Int("seeds")); seed++ {
		played++
		if err := runSeed(ctx, c, seed); err != nil {
			failed++
			fmt.Printf("seed %d FAILED:\n%v\n", seed, err)
		}
	}
	fmt.Printf("%d passed, %d failed\n", played-failed, failed)
	if failed > 0 {
		return fmt.Errorf("%d seeds failed", failed)
	}
	return nil
}

// runSeed runs one seed. The logs of a seed that passed are removed.
func runSeed(ctx context.Context, c *cli.Command, seed uint64) error {
	dir := filepath.Join(c.String("out"), fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	timeline, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		return err
	}
	defer timeline.Close()
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, For: c.Duration("for"), Binary: c.String("binary"), Dir: dir, Timeline: timeline,
		Balancers: c.Int("balancers"), Agents: c.Int("agents"), Callers: c.Int("callers"),
	})
	fmt.Printf("seed %d: %+v\n", seed, result)
	if err != nil {
		return fmt.Errorf("%w\nlogs and faults: %s", err, dir)
	}
	return os.RemoveAll(dir)
}
