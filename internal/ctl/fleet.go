package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// fleet is the state of all nodes, as reported by the nodes that responded.
type fleet struct {
	records  map[model.NodeID]adminapi.Member
	statuses map[model.NodeID]*adminapi.Status
	versions map[nodeProcess]uint64
	// failures holds the addresses that did not respond, with the error.
	failures map[netip.AddrPort]error
}

// nodeProcess is one incarnation of a node.
type nodeProcess struct {
	node        model.NodeID
	incarnation uint64
}

// fleetNode is one node that is up.
type fleetNode struct {
	adminapi.Member
	// version is the newest version that the node is known to have.
	version      uint64
	versionKnown bool
	// status is the response of the node itself; nil if it was not queried or
	// did not respond.
	status *adminapi.Status
	// queryErr is the error of a query without a response.
	queryErr error
}

// queryFleet queries the named balancers for all members, then the other
// balancers that are up according to them, and then the agents that are up and
// whose version is still unknown.
//
// It fails with a *noResponseError if no named balancer responded, and with an
// *inputError if a node belongs to another cluster.
func queryFleet(ctx context.Context, client *adminapi.Client, s *settings) (*fleet, error) {
	f := &fleet{
		records:  make(map[model.NodeID]adminapi.Member),
		statuses: make(map[model.NodeID]*adminapi.Status),
		versions: make(map[nodeProcess]uint64),
		failures: make(map[netip.AddrPort]error),
	}
	f.query(ctx, client, s.balancers, adminapi.MembersAll)
	if len(f.statuses) == 0 {
		return nil, f.allFailedError(s.balancers)
	}
	if err := f.checkCluster(s.cluster); err != nil {
		return nil, err
	}
	f.query(ctx, client, f.unqueriedBalancers(s.balancers), adminapi.MembersNone)
	f.query(ctx, client, f.agentsWithoutVersion(), adminapi.MembersNone)
	return f, nil
}

// allFailedError returns the error for the case that none of the balancers
// responded.
func (f *fleet) allFailedError(balancers []netip.AddrPort) error {
	message := "no balancer answered:"
	for _, address := range balancers {
		message += "\n  " + address.String() + ": " + f.failures[address].Error()
	}
	return &noResponseError{message}
}

// checkCluster returns an error if a node that responded belongs to another
// cluster, if both names are known. Versions of two clusters cannot be
// compared.
func (f *fleet) checkCluster(cluster string) error {
	for _, s := range f.statuses {
		if cluster != "" && s.Cluster != "" && s.Cluster != cluster {
			return inputErrorf("balancer %s belongs to cluster %q, not to %q", s.Node, s.Cluster, cluster)
		}
	}
	return nil
}

// query queries the addresses and adds the results.
func (f *fleet) query(ctx context.Context, client *adminapi.Client, addresses []netip.AddrPort, members adminapi.MemberFilter) {
	results := adminapi.FanOut(ctx, addresses, func(ctx context.Context, node netip.AddrPort) (*adminapi.Status, error) {
		return client.Status(ctx, node, members)
	})
	for _, result := range results {
		if result.Err != nil {
			f.failures[result.Node] = result.Err
			continue
		}
		f.addStatus(result.Node, result.Value)
	}
}

// addStatus merges the status of one node.
func (f *fleet) addStatus(address netip.AddrPort, s *adminapi.Status) {
	f.statuses[s.Node] = s
	f.raiseVersion(s.Node, s.Incarnation, s.ConfigVersion)
	f.mergeRecord(recordFromStatus(address, s))
	for _, m := range s.Members {
		f.mergeRecord(m)
		if m.ConfigVersion > 0 {
			f.raiseVersion(m.Node, m.Incarnation, m.ConfigVersion)
		}
	}
	for _, w := range s.Watched {
		f.raiseVersion(w.Node, w.Incarnation, w.ConfigVersion)
	}
}

// recordFromStatus returns a member record made from the status of a node. Its
// revision is the lowest, so that the full record of the same process
// supersedes it.
func recordFromStatus(address netip.AddrPort, s *adminapi.Status) adminapi.Member {
	state := adminapi.StateAlive
	if s.Stopping {
		state = adminapi.StateDraining
	}
	return adminapi.Member{
		Node: s.Node, Role: s.Role, State: state, Incarnation: s.Incarnation,
		Domain: s.Domain, Admin: address,
	}
}

// raiseVersion records that a process has a version. The version of a process
// never decreases.
func (f *fleet) raiseVersion(node model.NodeID, incarnation, version uint64) {
	key := nodeProcess{node, incarnation}
	f.versions[key] = max(f.versions[key], version)
}

// statePrecedence orders the claims about one revision of a record, the weakest
// first.
var statePrecedence = []adminapi.State{
	adminapi.StateAlive, adminapi.StateDraining, adminapi.StateSuspect, adminapi.StateLeft, adminapi.StateDead,
}

// mergeRecord stores a record if it supersedes the known one.
func (f *fleet) mergeRecord(m adminapi.Member) {
	existing, ok := f.records[m.Node]
	order := cmp.Or(
		cmp.Compare(m.Incarnation, existing.Incarnation),
		cmp.Compare(m.Revision, existing.Revision),
		cmp.Compare(slices.Index(statePrecedence, m.State), slices.Index(statePrecedence, existing.State)),
	)
	if !ok || order > 0 {
		f.records[m.Node] = m
	}
}

// unqueriedBalancers returns the admin addresses of the balancers that are up
// and have not been queried.
func (f *fleet) unqueriedBalancers(queried []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range f.records {
		_, answered := f.statuses[m.Node]
		if m.Role == adminapi.RoleBalancer && m.State.IsUp() && !answered && !slices.Contains(queried, m.Admin) {
			out = append(out, m.Admin)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// agentsWithoutVersion returns the admin addresses of the agents that are up
// and whose version is unknown.
func (f *fleet) agentsWithoutVersion() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range f.records {
		_, known := f.versions[nodeProcess{m.Node, m.Incarnation}]
		if m.Role == adminapi.RoleAgent && m.State.IsUp() && !known && m.Admin.IsValid() {
			out = append(out, m.Admin)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// upNodes returns the nodes that are up according to their records, and the
// nodes that responded. Balancers come first; nodes of a role are sorted by
// name.
func (f *fleet) upNodes() []fleetNode {
	var out []fleetNode
	for _, m := range f.records {
		status := f.statusOf(m)
		if !m.State.IsUp() && status == nil {
			continue
		}
		n := fleetNode{Member: m, status: status}
		n.version, n.versionKnown = f.versions[nodeProcess{m.Node, m.Incarnation}]
		if status == nil {
			n.queryErr = f.failures[m.Admin]
		}
		// Reports of other nodes about a balancer that did not respond may be
		// out of date.
		if m.Role == adminapi.RoleBalancer && status == nil {
			n.versionKnown = false
		}
		out = append(out, n)
	}
	slices.SortFunc(out, compareNodes)
	return out
}

// newestVersion returns the node that is up with the highest version.
func (f *fleet) newestVersion() (model.NodeID, uint64) {
	var node model.NodeID
	var version uint64
	for _, n := range f.upNodes() {
		if n.version > version {
			node, version = n.Node, n.version
		}
	}
	return node, version
}

// statusOf returns the status of the node if it is from the process in the
// record.
func (f *fleet) statusOf(m adminapi.Member) *adminapi.Status {
	if s := f.statuses[m.Node]; s != nil && s.Incarnation == m.Incarnation {
		return s
	}
	return nil
}

func compareNodes(a, b fleetNode) int {
	return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Node, b.Node))
}

// notes describes what the list of nodes omits, in a stable order.
func (f *fleet) notes() []string {
	var out []string
	for address := range f.failures {
		if !f.hasUpNodeAt(address) {
			out = append(out, fmt.Sprintf("%s did not answer, and no balancer reports a node there", address))
		}
	}
	for _, s := range f.statuses {
		if s.MembersTruncated {
			out = append(out, fmt.Sprintf("%s lists only %d of %d members", s.Node, len(s.Members), s.MembersTotal))
		}
	}
	slices.Sort(out)
	return out
}

// hasUpNodeAt reports whether a node that is up has the admin address.
func (f *fleet) hasUpNodeAt(address netip.AddrPort) bool {
	for _, m := range f.records {
		if m.Admin == address && m.State.IsUp() {
			return true
		}
	}
	return false
}
