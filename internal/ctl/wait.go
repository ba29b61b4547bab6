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

// inForceReport lists the nodes on which a version is not yet in force.
type inForceReport struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"in_force"`
	// Nodes is the number of nodes that are up.
	Nodes   int           `json:"nodes"`
	Lagging []laggingNode `json:"lagging"`
	// Notes describe what the list of nodes omits.
	Notes []string `json:"notes,omitempty"`
	// WaitedMilliseconds is the duration of the wait.
	WaitedMilliseconds int64 `json:"waited_milliseconds"`
	// newestNode is the node with the highest version.
	newestNode    model.NodeID
	newestVersion uint64
}

// laggingNode is a node that is up and not known to have the version.
type laggingNode struct {
	Node  model.NodeID   `json:"node"`
	Role  adminapi.Role  `json:"role"`
	State adminapi.State `json:"state"`
	// ConfigVersion is the version of the node, absent if it is unknown.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	Reason        string `json:"reason"`
}

// notInForceError reports an accepted version that is not in force on all
// nodes.
type notInForceError struct {
	version uint64
	wait    time.Duration
	lagging []laggingNode
	// cause is set if the nodes could not be queried or their versions not
	// compared with the store.
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

// parseWait returns --wait. A wait requires the address of a balancer.
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

// waitInForce waits until the version is in force on every node that is up, and
// prints the result if the format is a table. It fails with a *notInForceError.
// It returns at once if the wait is zero.
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

// checkNotAhead returns an error if a node has a version that is not in the
// store. Such a node would never apply the accepted version, because a node
// applies only higher versions than its own.
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

// describeAheadOfStore returns the message about a node whose version is not in
// the store.
func describeAheadOfStore(node model.NodeID, nodeVersion, storeVersion uint64) string {
	return fmt.Sprintf("node %s holds version %d, but the store has only version %d: "+
		"it is another cluster's node, or the store was restored to an older state", node, nodeVersion, storeVersion)
}

// printNotes prints what the output omits.
func (a *App) printNotes(notes []string) {
	for _, note := range notes {
		fmt.Fprintf(a.Stdout, "note: %s\n", note)
	}
}

// pollInForce queries the nodes until all have the version or the wait expires.
func (s *session) pollInForce(wait time.Duration, version uint64) (*inForceReport, error) {
	client := adminapi.NewClient(min(wait, adminapi.DefaultTimeout))
	defer client.Close()
	ctx, cancel := context.WithTimeout(s.commandCtx, wait)
	defer cancel()
	start := time.Now()
	var lastReport *inForceReport
	lastErr := errors.New("the wait expired before the nodes responded")
	pause := min(initialPollInterval, s.app.MaxPollInterval)
	for {
		fleet, err := queryFleet(ctx, client, s.settings)
		// A round that was cut off by the end of the wait says nothing about
		// the nodes.
		if ctx.Err() == nil {
			lastErr = err
			lastReport = fleet.inForceReport(version)
		}
		if lastReport != nil {
			lastReport.WaitedMilliseconds = time.Since(start).Milliseconds()
		}
		if lastReport != nil && lastReport.InForce {
			return lastReport, nil
		}
		if !sleep(ctx, pause) {
			return lastReport, newNotInForceError(version, wait, lastReport, lastErr)
		}
		pause = min(2*pause, s.app.MaxPollInterval)
	}
}

// newNotInForceError returns the error of an expired wait.
func newNotInForceError(version uint64, wait time.Duration, lastReport *inForceReport, lastErr error) error {
	e := &notInForceError{version: version, wait: wait, cause: lastErr}
	if lastReport != nil {
		e.lagging = lastReport.Lagging
	}
	return e
}

// inForceReport compares the versions of the nodes with the given one. It
// returns nil for a nil fleet.
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

// describeLag returns the entry of a node that does not have the version.
func (n *fleetNode) describeLag() laggingNode {
	out := laggingNode{Node: n.Node, Role: n.Role, State: n.State}
	switch {
	case n.queryErr != nil:
		out.Reason = "does not answer: " + n.queryErr.Error()
	case n.versionKnown:
		out.ConfigVersion = n.version
		out.Reason = fmt.Sprintf("holds version %d", n.version)
	default:
		out.Reason = "its version is unknown"
	}
	return out
}
