package steering

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// View is the present state of a balancer or an agent, for operators.
type View struct {
	Role   string `json:"role"`
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Version is the configuration in force at a balancer, 0 if none is.
	Version int64 `json:"version,omitempty"`
	// Revision is that of the newest change by operators that is known, in the Era of the
	// store.
	Revision int64  `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// ConfirmedMS is how long ago the store confirmed the revision to a balancer.
	ConfirmedMS int64    `json:"confirmed_ms,omitempty"`
	DomainsOut  []string `json:"domains_out,omitempty"`
	// Flows is the number of known flows. Queued is the number of flows whose opening
	// segment waits for an agent.
	Flows  int `json:"flows"`
	Queued int `json:"waiting,omitempty"`
	// Demand is the totals and waiting flows by service and priority: at a balancer all of
	// DemandView, at an agent what it admitted and refused.
	Demand []DemandView `json:"demand,omitempty"`
	// Target is the target beside an agent, nil if unknown.
	Target *TargetView `json:"target,omitempty"`
	// Refusal is why an agent opens no flows at present, "none" if it does.
	Refusal string     `json:"refusal,omitempty"`
	Peers   []PeerView `json:"peers"`
}

// TargetView is the target beside an agent.
type TargetView struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Incarnation is the target's start time, in milliseconds since 1970.
	Incarnation int64 `json:"lifetime"`
	Draining    bool  `json:"draining"`
	Slots       int   `json:"slots"`
	// Concurrency is the number of requests up to which the agent admits new flows.
	Concurrency int `json:"concurrency"`
	// InFlight is the number of requests queued or executing.
	InFlight int `json:"work"`
	// LastSeenMS is the age of the last heartbeat.
	LastSeenMS int64 `json:"heard_ms"`
	// Complete reports that the agent has seen all flows of this incarnation.
	Complete bool `json:"complete"`
	// Failing is why the target gets no new flows but trials, empty if it is not failing.
	Failing string `json:"failing,omitempty"`
}

// PeerView is an agent that a balancer knows, or a balancer that has pinged an
// agent.
type PeerView struct {
	Node    string         `json:"node,omitempty"`
	Domain  string         `json:"domain,omitempty"`
	Address netip.AddrPort `json:"address"`
	// LastSeenMS is the age of the peer's last message, -1 if there was none.
	LastSeenMS int64 `json:"heard_ms"`
	// Listed reports that the store lists the agent.
	Listed  bool   `json:"listed,omitempty"`
	Refusal string `json:"refusal,omitempty"`
}

// FlowView is what a balancer or an agent knows of a flow.
type FlowView struct {
	Role  string `json:"role"`
	Node  string `json:"node"`
	Known bool   `json:"known"`
	// State is the stage of the flow at a balancer; at an agent, the verdict on it.
	State string `json:"state"`
	// Holder is the agent to which the balancer sends the flow's segments, if any.
	Holder string `json:"holder,omitempty"`
	// LastSeenMS is the age of the flow's last segment, -1 if unknown.
	LastSeenMS int64 `json:"seen_ms"`
	// RequestInFlight reports that the target has not responded to a request of the
	// flow.
	RequestInFlight bool `json:"in_work,omitempty"`
}

// neverSeen is the age reported for events that have not happened.
const neverSeen = -1

func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return neverSeen
	}
	return now.Sub(at).Milliseconds()
}

var stageNames = [...]string{
	stageNew: "unknown", stageOpening: "opening", stageHeld: "held", stageProbing: "guessing", stageSearching: "searching",
	stageTrial: "trying", stageLost: "lost", stageQueued: "waiting",
}

// View returns the balancer's present state.
func (b *Balancer) View(now time.Time) View {
	v := View{
		Role: "balancer", Node: b.identity.Node, Domain: b.identity.Domain, Version: b.Version(),
		Revision: b.config.state.Revision.Number(), Era: b.config.state.Revision.Era(),
		ConfirmedMS: ageMS(now, b.confirmation.knownAt), Flows: len(b.entries), Queued: b.countQueued(), Demand: b.demandViews(now), Peers: []PeerView{},
	}
	for _, domain := range slices.Sorted(maps.Keys(b.config.state.DomainsOut)) {
		if b.config.state.DomainsOut[domain] {
			v.DomainsOut = append(v.DomainsOut, domain)
		}
	}
	for _, m := range b.members.all {
		v.Peers = append(v.Peers, PeerView{
			Node: m.record.Node, Domain: m.record.Domain, Address: m.record.Peer, LastSeenMS: ageMS(now, m.lastPong),
			Listed: m.listed, Refusal: m.status.Refusal.String(),
		})
	}
	return v
}

// Explain returns the balancer's knowledge of a flow.
func (b *Balancer) Explain(now time.Time, f Flow) FlowView {
	v := FlowView{Role: "balancer", Node: b.identity.Node, State: stageNames[stageNew], LastSeenMS: neverSeen}
	e := b.entries[f]
	if e == nil {
		return v
	}
	v.Known, v.State, v.LastSeenMS = true, stageNames[e.stage], ageMS(now, e.lastSeen)
	if e.agent != nil {
		v.Holder = e.agent.record.Node
	}
	return v
}

// View returns the agent's present state.
func (a *Agent) View(now time.Time) View {
	t := &a.target
	v := View{
		Role: "agent", Node: a.identity.Node, Domain: a.identity.Domain,
		Revision: a.limits.Revision.Number(), Era: a.limits.Revision.Era(), Flows: len(a.flows.byFlow),
		Refusal: a.checkAdmission(now, t.service, classOther).String(), Peers: []PeerView{},
	}
	for _, c := range a.DemandCounts() {
		v.Demand = append(v.Demand, DemandView{DemandCount: c})
	}
	if a.limits.DomainOut {
		v.DomainsOut = []string{a.identity.Domain}
	}
	if t.known {
		v.Target = &TargetView{
			Instance: t.instance, Service: t.name, Incarnation: t.incarnation, Draining: t.draining, Slots: t.slots,
			Concurrency: a.pacedConcurrency(now), InFlight: a.flows.busy, LastSeenMS: ageMS(now, t.lastHeartbeat), Complete: t.knowsAllFlows(),
			Failing: a.health.detector.Reason(),
		}
	}
	for address, b := range a.balancers.byPeer {
		v.Peers = append(v.Peers, PeerView{Address: address, LastSeenMS: ageMS(now, b.lastPing)})
	}
	slices.SortFunc(v.Peers, func(x, y PeerView) int {
		return cmp.Or(x.Address.Addr().Compare(y.Address.Addr()), cmp.Compare(x.Address.Port(), y.Address.Port()))
	})
	return v
}

// Explain returns the agent's knowledge of a flow.
func (a *Agent) Explain(now time.Time, f Flow) FlowView {
	v := FlowView{Role: "agent", Node: a.identity.Node, State: a.flowVerdict(f, 0).String(), LastSeenMS: neverSeen}
	if held := a.flows.byFlow[f]; held != nil {
		v.Known, v.LastSeenMS, v.RequestInFlight = true, ageMS(now, held.lastSegment), held.busy && !held.awaitingRequest
		if held.closed {
			v.State = "closed"
		}
	}
	return v
}
