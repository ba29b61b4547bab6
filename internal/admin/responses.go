package admin

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// buildStatus returns the part of a status that the board of every node has.
func buildStatus(b *core.Board, filter adminapi.MemberFilter) adminapi.Status {
	self := &b.Self.Member
	out := adminapi.Status{
		Node:          self.Node,
		Role:          adminapi.Role(self.Role.String()),
		Incarnation:   self.Incarnation,
		Domain:        self.Domain,
		ConfigVersion: b.Config.Current.Version,
		DomainOut:     b.Self.DomainOut,
		Stopping:      b.Self.Stopping,
		Started:       time.Unix(0, int64(self.Incarnation)).UTC(),
		Peers:         len(b.Peers.Sessions),
		Members:       []adminapi.Member{},
	}
	for _, m := range b.Members.Records {
		if isSelected(&m, filter) {
			out.Members = append(out.Members, adminapi.NewMember(&m, knownVersion(b, m.Node)))
		}
	}
	slices.SortFunc(out.Members, func(a, b adminapi.Member) int { return cmp.Compare(a.Node, b.Node) })
	out.MembersTotal = len(out.Members)
	out.MembersTruncated = len(out.Members) > adminapi.MaxMembers
	out.Members = out.Members[:min(len(out.Members), adminapi.MaxMembers)]
	return out
}

// isSelected reports whether the filter selects the member.
func isSelected(m *model.Member, filter adminapi.MemberFilter) bool {
	switch filter {
	case adminapi.MembersNone:
		return false
	case adminapi.MembersBalancers:
		return m.Role == model.RoleBalancer
	}
	return true
}

// knownVersion returns the newest configuration version that a node is known to
// have.
func knownVersion(b *core.Board, node model.NodeID) uint64 {
	if node == b.Self.Member.Node {
		return b.Config.Current.Version
	}
	return b.Peers.Sessions[node].ConfigVersion
}

// buildExplanation explains where the candidates of a service place a flow.
func buildExplanation(b *core.Board, service model.ServiceName, caller netip.AddrPort) adminapi.Explanation {
	self := &b.Self.Member
	out := adminapi.Explanation{
		Node:          self.Node,
		Role:          adminapi.Role(self.Role.String()),
		ConfigVersion: b.Config.Current.Version,
		Service:       service,
		Caller:        caller,
	}
	if view := b.Routes.Views[service.ID()]; view != nil {
		out.Route = buildRoute(b, view, model.FlowKey{Caller: caller, Service: service.ID()})
	}
	return out
}

func buildRoute(b *core.Board, view *core.View, flow model.FlowKey) *adminapi.Route {
	out := &adminapi.Route{
		Digest:    strconv.FormatUint(view.Digest, 16),
		ChangedAt: view.ChangedAt.UTC(),
	}
	for rank, c := range routing.Rank(view, flow.Hash(), nil) {
		out.Candidates = append(out.Candidates, newCandidate(&c, rank, flow.Hash()))
	}
	if len(out.Candidates) > 0 {
		out.Home = out.Candidates[0].Node
	}
	out.Candidates = append(out.Candidates, excludedMembers(b, view)...)
	out.CandidatesTotal = len(out.Candidates)
	out.Candidates = out.Candidates[:min(len(out.Candidates), adminapi.MaxCandidates)]
	return out
}

func newCandidate(c *core.Candidate, rank int, hash uint64) adminapi.Candidate {
	out := newMemberCandidate(&c.Member)
	out.Rank = rank + 1
	out.Score = routing.Score(c.Seed, hash)
	out.AcceptsNewFlows = c.AcceptsNewFlows
	out.Reason = "Takes new flows."
	if rank == 0 {
		out.Reason = "Home: highest score."
	}
	if !c.AcceptsNewFlows {
		out.Reason += " Takes no new flows: " + c.Member.State.String() + "."
	}
	return out
}

func newMemberCandidate(m *model.Member) adminapi.Candidate {
	return adminapi.Candidate{
		Node: m.Node, Target: m.Target, Domain: m.Domain, Admin: m.AdminAddr,
		State: adminapi.State(m.State.String()),
	}
}

// excludedMembers returns the members of the service that are not candidates,
// with the reason.
func excludedMembers(b *core.Board, view *core.View) []adminapi.Candidate {
	var out []adminapi.Candidate
	for _, m := range b.Members.Records {
		if m.Service != view.Service || slices.ContainsFunc(view.Candidates, func(c core.Candidate) bool { return c.Member.Node == m.Node }) {
			continue
		}
		c := newMemberCandidate(&m)
		c.Reason = exclusionReason(b, &m)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b adminapi.Candidate) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func exclusionReason(b *core.Board, m *model.Member) string {
	switch {
	case m.Gone():
		return "Not a candidate: " + m.State.String() + "."
	case b.Config.Current.DomainOut(m.Domain):
		return "Not a candidate: failure domain " + string(m.Domain) + " is out."
	}
	return "Not a candidate: the service does not allow target " + string(m.Target) + " in failure domain " + string(m.Domain) + "."
}
