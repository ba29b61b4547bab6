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

// fleet is what the balancers that answered say of all nodes.
type fleet struct {
	records  map[model.NodeID]adminapi.Member
	statuses map[model.NodeID]*adminapi.Status
	versions map[nodeProcess]uint64
	// silent holds the addresses that did not answer, with the reason.
	failures map[netip.AddrPort]error
}

// process is one instance of a node.
type nodeProcess struct {
	node        model.NodeID
	incarnation uint64
}

// fleetNode is one node that is up.
type fleetNode struct {
	adminapi.Member
	// version is the newest one that the node is known to hold.
	version      uint64
	versionKnown bool
	// status is the node's own answer; nil if it was not queried or is silent.
	status *adminapi.Status
	// silence is why a node that was queried did not result.
	queryErr error
}

// queryFleet asks the named balancers for all members, then every other balancer
// that these report as up for its own state, and last the agents that are up
// and whose version no balancer knows.
//
// It fails with a *noResponseError if no named balancer answered, and with an
// *inputError if one belongs to another cluster.
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

// noAnswer reports that none of the balancers answered.
func (f *fleet) allFailedError(balancers []netip.AddrPort) error {
	message := "no balancer answered:"
	for _, address := range balancers {
		message += "\n  " + address.String() + ": " + f.failures[address].Error()
	}
	return &noResponseError{message}
}

// checkCluster checks that the nodes that answered belong to the cluster, as
// far as both are known. Versions of two clusters can't be compared.
func (f *fleet) checkCluster(cluster string) error {
	for _, s := range f.statuses {
		if cluster != "" && s.Cluster != "" && s.Cluster != cluster {
			return inputErrorf("balancer %s belongs to cluster %q, not to %q", s.Node, s.Cluster, cluster)
		}
	}
	return nil
}

// ask asks the addresses and takes their results.
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

// take merges one node's result.
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

// recordFromStatus returns the record that a node's answer stands for. Its revision
// is the lowest, so that a proper record of the same process replaces it.
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

// raise notes that a process holds a version. Versions only rise.
func (f *fleet) raiseVersion(node model.NodeID, incarnation, version uint64) {
	key := nodeProcess{node, incarnation}
	f.versions[key] = max(f.versions[key], version)
}

// statePrecedence is the precedence of claims about one revision of a record.
var statePrecedence = []adminapi.State{
	adminapi.StateAlive, adminapi.StateDraining, adminapi.StateSuspect, adminapi.StateLeft, adminapi.StateDead,
}

// merge takes a record if it supersedes the existing one.
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
// and were not queried.
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

// agentsWithoutVersion returns the admin addresses of the agents that are up and
// whose version is not known.
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

// nodes returns the nodes that are up: those whose record says so and the
// balancers that answered. Balancers come first, then by name.
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
		// What others last heard of a silent balancer is no result.
		if m.Role == adminapi.RoleBalancer && status == nil {
			n.versionKnown = false
		}
		out = append(out, n)
	}
	slices.SortFunc(out, compareNodes)
	return out
}

// newest returns the node that is up with the highest version.
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

// statusOf returns the node's own answer if it is of the recorded process.
func (f *fleet) statusOf(m adminapi.Member) *adminapi.Status {
	if s := f.statuses[m.Node]; s != nil && s.Incarnation == m.Incarnation {
		return s
	}
	return nil
}

func compareNodes(a, b fleetNode) int {
	return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Node, b.Node))
}

// notes returns what the list of nodes leaves out, in a stable order.
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
