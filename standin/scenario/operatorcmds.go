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

// raceSeparator separates the command lines of a race.
const raceSeparator = "--"

// anyWinners accepts any number of successful commands in a race.
const anyWinners = "any"

// operatorCommands returns the commands that act as operators do.
func operatorCommands() map[string]command {
	return map[string]command{
		"domain": {"out|in NAME [ARGS...]", 2, runOperator("domain")},
		"apply":  {"FILE [ARGS...]", 1, runOperator("apply")},
		"race":   {"WINNERS|any PROGRAM ARGS... -- PROGRAM ARGS...", 4, cmdRace},
	}
}

// runOperator returns a command that runs the operators' client with the given
// words followed by the arguments of the script.
func runOperator(words ...string) func(*harness, *testscript.TestScript, []string) error {
	return func(_ *harness, ts *testscript.TestScript, args []string) error {
		return ts.Exec(operatorProgram, append(slices.Clone(words), args...)...)
	}
}

// raceCommand is one command line of a race and its result.
type raceCommand struct {
	line []string
	out  []byte
	err  error
}

// cmdRace runs command lines concurrently and checks how many of them
// succeed. Their output goes to race-1.txt, race-2.txt and so on.
func cmdRace(h *harness, ts *testscript.TestScript, args []string) error {
	commands := parseRaceCommands(args[1:])
	if len(commands) < 2 {
		return errors.New("a race needs two command lines")
	}
	if err := runRace(ts, commands); err != nil {
		return err
	}
	winners := 0
	for i := range commands {
		name := fmt.Sprintf("race-%d.txt", i+1)
		ts.Logf("[%s: %v]\n%s", name, commands[i].err, commands[i].out)
		if err := os.WriteFile(filepath.Join(h.work, name), commands[i].out, 0o644); err != nil {
			return err
		}
		if commands[i].err == nil {
			winners++
		}
	}
	if args[0] == anyWinners {
		return nil
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return fmt.Errorf("number of winners: %w", err)
	}
	if winners != want {
		return fmt.Errorf("%d of %d succeeded, want %d", winners, len(commands), want)
	}
	return nil
}

// parseRaceCommands splits the arguments at raceSeparator.
func parseRaceCommands(args []string) []raceCommand {
	var out []raceCommand
	for len(args) > 0 {
		end := slices.Index(args, raceSeparator)
		if end < 0 {
			end = len(args)
		}
		if end > 0 {
			out = append(out, raceCommand{line: args[:end]})
		}
		args = args[min(end+1, len(args)):]
	}
	return out
}

// runRace runs the command lines concurrently. It returns an error only if a
// program does not exist.
func runRace(ts *testscript.TestScript, commands []raceCommand) error {
	ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
	defer cancel()
	cmds := make([]*exec.Cmd, len(commands))
	for i := range commands {
		path, err := lookPath(commands[i].line[0], ts.Getenv("PATH"))
		if err != nil {
			return err
		}
		cmds[i] = exec.CommandContext(ctx, path, commands[i].line[1:]...)
		cmds[i].Dir = ts.MkAbs(".")
		cmds[i].Env = scriptEnvironment(ts)
	}
	var wg sync.WaitGroup
	for i := range commands {
		wg.Go(func() { commands[i].out, commands[i].err = cmds[i].CombinedOutput() })
	}
	wg.Wait()
	return nil
}
