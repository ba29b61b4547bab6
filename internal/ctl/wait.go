package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// forceReport says on how many nodes a version is in force.
type forceReport struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"in_force"`
	// Nodes is the number of nodes that are up.
	Nodes   int           `json:"nodes"`
	Lagging []laggingNode `json:"lagging"`
	// Notes say what the nodes leave out.
	Notes []string `json:"notes,omitempty"`
	// WaitedMilliseconds is how long the command waited.
	WaitedMilliseconds int64 `json:"waited_milliseconds"`
	// newestNode is the node with the highest version of all.
	newestNode    model.NodeID
	newestVersion uint64
}

// laggingNode is a node that is up and not known to hold the version.
type laggingNode struct {
	Node  model.NodeID   `json:"node"`
	Role  adminapi.Role  `json:"role"`
	State adminapi.State `json:"state"`
	// ConfigVersion is what the node holds, absent if that is not known.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	Reason        string `json:"reason"`
}

// notInForceError reports an accepted version that some nodes lack.
type notInForceError struct {
	version uint64
	wait    time.Duration
	lagging []laggingNode
	// cause is set if no balancer answered.
	cause error
}

// Error lists the lagging nodes.
func (e *notInForceError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("version %d is accepted, but not known to be in force: %s", e.version, e.cause)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is accepted, but after %s it is not in force on %s:", e.version, e.wait, count(len(e.lagging), "node"))
	for _, n := range e.lagging {
		fmt.Fprintf(&b, "\n  %s %s (%s): %s", n.Role, n.Node, n.State, n.Reason)
	}
	return b.String()
}

// waitFor returns --wait, and checks that a wait has balancers to ask.
func (s *session) waitFor(cmd *cli.Command) (time.Duration, error) {
	wait := cmd.Duration(flagWait)
	if wait < 0 {
		return 0, inputErrorf("--wait %s is out of range; want 0s or more", wait)
	}
	if wait == 0 || len(s.settings.balancers) > 0 {
		return wait, nil
	}
	var found findings.List
	found.Addf(flagPlace(flagBalancer), "name a balancer's admin address to wait for, or give --wait 0s")
	return 0, found.Err()
}

// waitInForce waits until the version is in force on every node that is up,
// and prints the outcome if the format is a table. It fails with a
// *notInForceError. A wait of zero does nothing.
func (s *session) waitInForce(wait time.Duration, version uint64, out **forceReport) error {
	if wait == 0 {
		return nil
	}
	report, err := s.pollInForce(wait, version)
	*out = report
	if err != nil {
		return err
	}
	if err := s.checkAhead(wait, version, report); err != nil {
		return err
	}
	if s.settings.format != formatTable {
		return nil
	}
	_, err = fmt.Fprintf(s.app.Stdout, "version %d is in force on %s, all that are up\n", version, count(report.Nodes, "node"))
	s.app.printNotes(report.Notes)
	return err
}

// checkAhead checks that no node holds a version that the store does not
// have. Such a node would never take the accepted one, because versions only
// rise.
func (s *session) checkAhead(wait time.Duration, version uint64, report *forceReport) error {
	if report.newestVersion <= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.parent, s.settings.timeout)
	defer cancel()
	snapshot, err := load(ctx, s.store, report.newestVersion)
	if err != nil {
		return &notInForceError{version: version, wait: wait, cause: err}
	}
	if report.newestVersion <= snapshot.Version {
		return nil
	}
	report.InForce = false
	cause := errors.New(aheadOfStore(report.newestNode, report.newestVersion, snapshot.Version))
	return &notInForceError{version: version, wait: wait, cause: cause}
}

// aheadOfStore says that a node holds a version which the store lacks.
func aheadOfStore(node model.NodeID, held, stored uint64) string {
	return fmt.Sprintf("node %s holds version %d, but the store has only version %d: "+
		"it is another cluster's node, or the store was restored to an older state", node, held, stored)
}

// printNotes writes what an answer leaves out.
func (a *App) printNotes(notes []string) {
	for _, note := range notes {
		fmt.Fprintf(a.Stdout, "note: %s\n", note)
	}
}

// pollInForce asks the nodes until all hold the version or the wait is over.
func (s *session) pollInForce(wait time.Duration, version uint64) (*forceReport, error) {
	client := adminapi.NewClient(min(wait, adminapi.DefaultTimeout))
	defer client.Close()
	ctx, cancel := context.WithTimeout(s.parent, wait)
	defer cancel()
	start := time.Now()
	var last *forceReport
	failure := errors.New("the wait was too short for an answer")
	pause := min(firstPollInterval, s.app.PollInterval)
	for {
		fleet, err := askFleet(ctx, client, s.settings)
		// A round that the end of the wait cut off says nothing about the nodes.
		if ctx.Err() == nil {
			failure = err
			last = fleet.forceReport(version)
		}
		if last != nil {
			last.WaitedMilliseconds = time.Since(start).Milliseconds()
		}
		if last != nil && last.InForce {
			return last, nil
		}
		if !sleep(ctx, pause) {
			return last, notInForce(version, wait, last, failure)
		}
		pause = min(2*pause, s.app.PollInterval)
	}
}

// notInForce returns the error after the wait.
func notInForce(version uint64, wait time.Duration, last *forceReport, failure error) error {
	e := &notInForceError{version: version, wait: wait, cause: failure}
	if last != nil {
		e.lagging = last.Lagging
	}
	return e
}

// forceReport compares the nodes' versions with the wanted one. A nil fleet
// has no report.
func (f *fleet) forceReport(version uint64) *forceReport {
	if f == nil {
		return nil
	}
	nodes := f.nodes()
	report := &forceReport{Version: version, Nodes: len(nodes), Lagging: []laggingNode{}, Notes: f.notes()}
	for _, n := range nodes {
		if n.known && n.version >= version {
			continue
		}
		report.Lagging = append(report.Lagging, n.lagging())
	}
	report.InForce = len(report.Lagging) == 0
	report.newestNode, report.newestVersion = f.newest()
	return report
}

// lagging describes a node that lacks a version.
func (n *fleetNode) lagging() laggingNode {
	out := laggingNode{Node: n.Node, Role: n.Role, State: n.State}
	switch {
	case n.silence != nil:
		out.Reason = "does not answer: " + n.silence.Error()
	case n.known:
		out.ConfigVersion = n.version
		out.Reason = fmt.Sprintf("holds version %d", n.version)
	default:
		out.Reason = "its version is not known"
	}
	return out
}
