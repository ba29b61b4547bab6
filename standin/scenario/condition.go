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

// conditionPollInterval is the interval between checks of a condition.
const conditionPollInterval = 50 * time.Millisecond

const conditionUsage = "json NAME PATH FIELD RELATION VALUE | output REGEXP PROGRAM ARGS..."

// errCondition is returned for a condition that cannot be parsed.
var errCondition = errors.New("malformed condition")

// condition is a predicate that a script expects to hold. It returns an error
// with the observed state if it does not.
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
func cmdExpect(h *harness, ts *testscript.TestScript, args []string) error {
	check, err := h.parseCondition(ts, args)
	if err != nil {
		return err
	}
	return check()
}

// cmdEventually waits until a condition holds.
func cmdEventually(h *harness, ts *testscript.TestScript, args []string) error {
	limit, check, err := h.parseTimedCondition(ts, args)
	if err != nil {
		return err
	}
	started := time.Now()
	for {
		err := check()
		elapsed := time.Since(started)
		if err == nil && elapsed <= limit {
			ts.Logf("held after %v", elapsed.Round(time.Millisecond))
			return nil
		}
		if elapsed > limit {
			return fmt.Errorf("not within %v: %w", limit, errors.Join(err, lateError(err)))
		}
		time.Sleep(conditionPollInterval)
	}
}

// lateError returns an error for a condition that held only after its limit, nil
// if the check itself failed with an error.
func lateError(checkErr error) error {
	if checkErr != nil {
		return nil
	}
	return errors.New("it held only after the limit")
}

// cmdAlways checks that a condition holds throughout a duration.
func cmdAlways(h *harness, ts *testscript.TestScript, args []string) error {
	limit, check, err := h.parseTimedCondition(ts, args)
	if err != nil {
		return err
	}
	started := time.Now()
	for time.Since(started) < limit {
		if err := check(); err != nil {
			return fmt.Errorf("after %v: %w", time.Since(started).Round(time.Millisecond), err)
		}
		time.Sleep(conditionPollInterval)
	}
	return nil
}

// parseTimedCondition parses a duration followed by a condition.
func (h *harness) parseTimedCondition(ts *testscript.TestScript, args []string) (time.Duration, condition, error) {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return 0, nil, fmt.Errorf("limit: %w", err)
	}
	check, err := h.parseCondition(ts, args[1:])
	return limit, check, err
}

// parseCondition parses the arguments of a condition.
func (h *harness) parseCondition(ts *testscript.TestScript, args []string) (condition, error) {
	switch {
	case args[0] == "json" && len(args) == 6:
		return h.jsonCondition(args[1], args[2], args[3], args[4], args[5]), nil
	case args[0] == "output" && len(args) >= 3:
		return outputCondition(ts, args[1], args[2:])
	}
	return nil, fmt.Errorf("%w %q, want %s", errCondition, strings.Join(args, " "), conditionUsage)
}

// jsonCondition compares a value in the JSON response of an admin address.
func (h *harness) jsonCondition(name, path, field, relation, want string) condition {
	return func() error {
		value, err := h.readField(name, path, field)
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

// readField returns a value from the JSON response of an admin address.
func (h *harness) readField(name, path, field string) (string, error) {
	body, err := h.sendRequest(http.MethodGet, name, path, "")
	if err != nil {
		return "", err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return "", fmt.Errorf("response of %s%s: %w", name, path, err)
	}
	value, err := lookUp(document, field)
	return formatValue(value), err
}

// cmdCapture sets a variable to a value from the response of an admin address.
func cmdCapture(h *harness, ts *testscript.TestScript, args []string) error {
	value, err := h.readField(args[1], args[2], args[3])
	if err != nil {
		return err
	}
	ts.Setenv(args[0], value)
	ts.Logf("%s=%s", args[0], value)
	return nil
}

// outputCondition requires that a program succeeds and its output matches a
// pattern.
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
		ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
		defer cancel()
		cmd := exec.CommandContext(ctx, path, line[1:]...)
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = scriptEnvironment(ts)
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
