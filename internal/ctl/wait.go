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

// inForceReport says on how many nodes a version is in force.
type inForceReport struct {
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
	fmt.Fprintf(&b, "version %d is accepted, but after %s it is not in force on %s:", e.version, e.wait, pluralize(len(e.lagging), "node"))
	for _, n := range e.lagging {
		fmt.Fprintf(&b, "\n  %s %s (%s): %s", n.Role, n.Node, n.State, n.Reason)
	}
	return b.String()
}

// parseWait returns --wait, and checks that a wait has balancers to ask.
func (s *session) parseWait(cmd *cli.Command) (time.Duration, error) {
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
func (s *session) waitInForce(wait time.Duration, version uint64, out **inForceReport) error {
	if wait == 0 {
		return nil
	}
	report, err := s.pollInForce(wait, version)
	*out = report
	if err != nil {
		return err
	}
	if err := s.checkNotAhead(wait, version, report); err != nil {
		return err
	}
	if s.settings.format != formatTable {
		return nil
	}
	_, err = fmt.Fprintf(s.app.Stdout, "version %d is in force on %s, all that are up\n", version, pluralize(report.Nodes, "node"))
	s.app.printNotes(report.Notes)
	return err
}

// checkNotAhead checks that no node holds a version that the store does not
// have. Such a node would never take the accepted one, because versions only
// rise.
func (s *session) checkNotAhead(wait time.Duration, version uint64, report *inForceReport) error {
	if report.newestVersion <= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.commandCtx, s.settings.timeout)
	defer cancel()
	snapshot, err := loadSnapshot(ctx, s.store, report.newestVersion)
	if err != nil {
		return &notInForceError{version: version, wait: wait, cause: err}
	}
	if report.newestVersion <= snapshot.Version {
		return nil
	}
	report.InForce = false
	cause := errors.New(describeAheadOfStore(report.newestNode, report.newestVersion, snapshot.Version))
	return &notInForceError{version: version, wait: wait, cause: cause}
}

// describeAheadOfStore says that a node holds a version which the store lacks.
func describeAheadOfStore(node model.NodeID, nodeVersion, storeVersion uint64) string {
	return fmt.Sprintf("node %s holds version %d, but the store has only version %d: "+
		"it is another cluster's node, or the store was restored to an older state", node, nodeVersion, storeVersion)
}

// printNotes writes what an answer leaves out.
func (a *App) printNotes(notes []string) {
	for _, note := range notes {
		fmt.Fprintf(a.Stdout, "note: %s\n", note)
	}
}

// pollInForce asks the nodes until all hold the version or the wait is over.
func (s *session) pollInForce(wait time.Duration, version uint64) (*inForceReport, error) {
	client := adminapi.NewClient(min(wait, adminapi.DefaultTimeout))
	defer client.Close()
	ctx, cancel := context.WithTimeout(s.commandCtx, wait)
	defer cancel()
	start := time.Now()
	var last *inForceReport
	failure := errors.New("the wait was too short for an answer")
	pause := min(initialPollInterval, s.app.MaxPollInterval)
	for {
		fleet, err := queryFleet(ctx, client, s.settings)
		// A round that the end of the wait cut off says nothing about the nodes.
		if ctx.Err() == nil {
			failure = err
			last = fleet.inForceReport(version)
		}
		if last != nil {
			last.WaitedMilliseconds = time.Since(start).Milliseconds()
		}
		if last != nil && last.InForce {
			return last, nil
		}
		if !sleep(ctx, pause) {
			return last, newNotInForceError(version, wait, last, failure)
		}
		pause = min(2*pause, s.app.MaxPollInterval)
	}
}

// newNotInForceError returns the error after the wait.
func newNotInForceError(version uint64, wait time.Duration, last *inForceReport, failure error) error {
	e := &notInForceError{version: version, wait: wait, cause: failure}
	if last != nil {
		e.lagging = last.Lagging
	}
	return e
}

// inForceReport compares the nodes' versions with the wanted one. A nil fleet
// has no report.
func (f *fleet) inForceReport(version uint64) *inForceReport {
	if f == nil {
		return nil
	}
	nodes := f.upNodes()
	report := &inForceReport{Version: version, Nodes: len(nodes), Lagging: []laggingNode{}, Notes: f.notes()}
	for _, n := range nodes {
		if n.versionKnown && n.version >= version {
			continue
		}
		report.Lagging = append(report.Lagging, n.describeLag())
	}
	report.InForce = len(report.Lagging) == 0
	report.newestNode, report.newestVersion = f.newestVersion()
	return report
}

// lagging describes a node that lacks a version.
func (n *fleetNode) describeLag() laggingNode {
	out := laggingNode{Node: n.Node, Role: n.Role, State: n.State}
	switch {
	case n.queryErr != nil:
		out.Reason = "does not answer: " + n.queryErr.Error()
	case n.versionKnown:
		out.ConfigVersion = n.version
		out.Reason = fmt.Sprintf("holds version %d", n.version)
	default:
		out.Reason = "its version is not known"
	}
	return out
}
