package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// operatorProgram is the operators' client.
const operatorProgram = "amaranthctl"

// raceSeparator stands between the command lines of a race.
const raceSeparator = "--"

// anyWins is the expectation of a race that expects nothing.
const anyWins = "any"

// operatorCommands returns the commands of operators.
func operatorCommands() map[string]command {
	return map[string]command{
		"domain": {"out|in NAME [ARGS...]", 2, runOperator("domain")},
		"apply":  {"FILE [ARGS...]", 1, runOperator("apply")},
		"race":   {"WINNERS|any PROGRAM ARGS... -- PROGRAM ARGS...", 4, cmdRace},
	}
}

// runOperator returns a command that runs the operators' client. Its first
// arguments come last on the command line, after the flags.
func runOperator(words ...string) func(*bench, *testscript.TestScript, []string) error {
	return func(_ *bench, ts *testscript.TestScript, args []string) error {
		return ts.Exec(operatorProgram, append(slices.Clone(words), args...)...)
	}
}

// racer is one of the command lines of a race.
type racer struct {
	line []string
	out  []byte
	err  error
}

// cmdRace runs command lines at the same time and checks how many of them
// succeed. Their output goes to race-1.txt, race-2.txt and so on.
func cmdRace(b *bench, ts *testscript.TestScript, args []string) error {
	racers := splitRacers(args[1:])
	if len(racers) < 2 {
		return errors.New("a race needs two command lines")
	}
	if err := runRace(ts, racers); err != nil {
		return err
	}
	winners := 0
	for i := range racers {
		name := fmt.Sprintf("race-%d.txt", i+1)
		ts.Logf("[%s: %v]\n%s", name, racers[i].err, racers[i].out)
		if err := os.WriteFile(filepath.Join(b.work, name), racers[i].out, 0o644); err != nil {
			return err
		}
		if racers[i].err == nil {
			winners++
		}
	}
	if args[0] == anyWins {
		return nil
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return fmt.Errorf("number of winners: %w", err)
	}
	if winners != want {
		return fmt.Errorf("%d of %d succeeded, want %d", winners, len(racers), want)
	}
	return nil
}

func splitRacers(args []string) []racer {
	var out []racer
	for len(args) > 0 {
		end := slices.Index(args, raceSeparator)
		if end < 0 {
			end = len(args)
		}
		if end > 0 {
			out = append(out, racer{line: args[:end]})
		}
		args = args[min(end+1, len(args)):]
	}
	return out
}

// runRace runs the command lines at the same time. Its error is that a program
// does not exist.
func runRace(ts *testscript.TestScript, racers []racer) error {
	ctx, cancel := context.WithTimeout(context.Background(), programLimit)
	defer cancel()
	cmds := make([]*exec.Cmd, len(racers))
	for i := range racers {
		path, err := lookPath(racers[i].line[0], ts.Getenv("PATH"))
		if err != nil {
			return err
		}
		cmds[i] = exec.CommandContext(ctx, path, racers[i].line[1:]...)
		cmds[i].Dir = ts.MkAbs(".")
		cmds[i].Env = environment(ts)
	}
	var running sync.WaitGroup
	for i := range racers {
		running.Go(func() { racers[i].out, racers[i].err = cmds[i].CombinedOutput() })
	}
	running.Wait()
	return nil
}
