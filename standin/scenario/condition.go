package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// conditionPoll is how often a condition is tried.
const conditionPoll = 50 * time.Millisecond

const conditionUsage = "json NAME PATH FIELD RELATION VALUE | output REGEXP PROGRAM ARGS..."

// errCondition reports a condition that cannot be parsed.
var errCondition = errors.New("malformed condition")

// condition is something that a script expects. Its error says what was seen
// instead.
type condition func() error

// conditionCommands returns the commands that check conditions.
func conditionCommands() map[string]command {
	return map[string]command{
		"expect":     {conditionUsage, 3, cmdExpect},
		"eventually": {"LIMIT " + conditionUsage, 4, cmdEventually},
		"always":     {"TIME " + conditionUsage, 4, cmdAlways},
		"capture":    {"VARIABLE NAME PATH FIELD", 4, cmdCapture},
		"quiet":      {"TIME TARGET...", 2, cmdQuiet},
	}
}

// cmdExpect checks a condition once.
func cmdExpect(b *bench, ts *testscript.TestScript, args []string) error {
	holds, err := b.condition(ts, args)
	if err != nil {
		return err
	}
	return holds()
}

// cmdEventually waits until a condition holds.
func cmdEventually(b *bench, ts *testscript.TestScript, args []string) error {
	limit, holds, err := b.timedCondition(ts, args)
	if err != nil {
		return err
	}
	started := time.Now()
	for {
		seen := holds()
		took := time.Since(started)
		if seen == nil && took <= limit {
			ts.Logf("held after %v", took.Round(time.Millisecond))
			return nil
		}
		if took > limit {
			return fmt.Errorf("not within %v: %w", limit, errors.Join(seen, errTooLate(seen)))
		}
		time.Sleep(conditionPoll)
	}
}

// errTooLate explains a condition that held only after its limit.
func errTooLate(seen error) error {
	if seen != nil {
		return nil
	}
	return errors.New("it held only after the limit")
}

// cmdAlways checks that a condition holds for a time.
func cmdAlways(b *bench, ts *testscript.TestScript, args []string) error {
	limit, holds, err := b.timedCondition(ts, args)
	if err != nil {
		return err
	}
	started := time.Now()
	for time.Since(started) < limit {
		if err := holds(); err != nil {
			return fmt.Errorf("after %v: %w", time.Since(started).Round(time.Millisecond), err)
		}
		time.Sleep(conditionPoll)
	}
	return nil
}

func (b *bench) timedCondition(ts *testscript.TestScript, args []string) (time.Duration, condition, error) {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return 0, nil, fmt.Errorf("limit: %w", err)
	}
	holds, err := b.condition(ts, args[1:])
	return limit, holds, err
}

// condition parses a condition.
func (b *bench) condition(ts *testscript.TestScript, args []string) (condition, error) {
	switch {
	case args[0] == "json" && len(args) == 6:
		return b.jsonCondition(args[1], args[2], args[3], args[4], args[5]), nil
	case args[0] == "output" && len(args) >= 3:
		return outputCondition(ts, args[1], args[2:])
	}
	return nil, fmt.Errorf("%w %q, want %s", errCondition, strings.Join(args, " "), conditionUsage)
}

// jsonCondition compares a value in the JSON that an admin address answers.
func (b *bench) jsonCondition(name, path, field, relation, want string) condition {
	return func() error {
		value, err := b.read(name, path, field)
		if err != nil {
			return err
		}
		ok, err := compare(value, relation, want)
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("%s%s %s is %s, want %s %s", name, path, field, value, relation, want)
		}
		return nil
	}
}

// read returns a value in the JSON that an admin address answers.
func (b *bench) read(name, path, field string) (string, error) {
	answer, err := b.request(http.MethodGet, name, path, "")
	if err != nil {
		return "", err
	}
	decoder := json.NewDecoder(bytes.NewReader(answer))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return "", fmt.Errorf("answer of %s%s: %w", name, path, err)
	}
	value, err := lookUp(document, field)
	return text(value), err
}

// cmdCapture sets a variable to a value that an admin address answers.
func cmdCapture(b *bench, ts *testscript.TestScript, args []string) error {
	value, err := b.read(args[1], args[2], args[3])
	if err != nil {
		return err
	}
	ts.Setenv(args[0], value)
	ts.Logf("%s=%s", args[0], value)
	return nil
}

// outputCondition matches the output of a program that succeeds.
func outputCondition(ts *testscript.TestScript, pattern string, line []string) (condition, error) {
	expr, err := regexp.Compile("(?m)" + pattern)
	if err != nil {
		return nil, err
	}
	path, err := lookPath(line[0], ts.Getenv("PATH"))
	if err != nil {
		return nil, err
	}
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), programLimit)
		defer cancel()
		cmd := exec.CommandContext(ctx, path, line[1:]...)
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = environment(ts)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", strings.Join(line, " "), err, out)
		}
		if !expr.Match(out) {
			return fmt.Errorf("%s: no match for %q in\n%s", strings.Join(line, " "), pattern, out)
		}
		return nil
	}, nil
}
