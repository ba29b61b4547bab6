package steering

import (
	"cmp"
	"slices"
	"time"
)

// demandEvent is a counted event of an opening.
type demandEvent uint8

const (
	// demandAsked is the first copy of an opening segment at a balancer.
	demandAsked demandEvent = iota
	// demandAdmitted is an opening that the target has responded to, at a balancer, or that
	// the agent has delivered.
	demandAdmitted
	// demandQueued is an opening that found no agent at first.
	demandQueued
	// demandReoffered is an offer to another agent after the first.
	demandReoffered
	// demandLate is an opening that was admitted after its objective had passed.
	demandLate
	numDemandEvents
)

// reasonOther is the reason under which refusals without a known reason are counted.
const reasonOther = "other"

// balancerReasons are the reasons for which a balancer refuses or drops an opening, as in log
// lines. The list bounds the number of counters.
var balancerReasons = [...]string{"overload", "queue timeout", "queue is full", "caller stopped retransmitting", reasonOther}

// numReasons is the number of an agent's and a balancer's reasons.
const numReasons = int(RefusedFailing) + 1 + len(balancerReasons)

// reasonIndex returns the index of a balancer's reason in demandCounts.refused.
func reasonIndex(reason string) int {
	i := slices.Index(balancerReasons[:], reason)
	if i < 0 {
		i = len(balancerReasons) - 1
	}
	return int(RefusedFailing) + 1 + i
}

// reasonName returns the name of the reason with an index in demandCounts.refused.
func reasonName(i int) string {
	if i <= int(RefusedFailing) {
		return Refusal(i).String()
	}
	return balancerReasons[i-int(RefusedFailing)-1]
}

// demandCounts are the totals of a service and priority.
type demandCounts struct {
	events  [numDemandEvents]uint64
	refused [numReasons]uint64
}

// demandCounters counts events by service and priority since the process started. It holds
// NumPriorities counts for each service that is in force.
type demandCounters map[ServiceID]*[NumPriorities]demandCounts

// of returns the counts of a service and priority.
func (c demandCounters) of(service ServiceID, priority uint8) *demandCounts {
	counts := c[service]
	if counts == nil {
		counts = new([NumPriorities]demandCounts)
		c[service] = counts
	}
	return &counts[min(priority, NumPriorities-1)]
}

// retain drops the counts of services that the configuration does not name.
func (c demandCounters) retain(configuration *Configuration) {
	if configuration == nil {
		return
	}
	inForce := make(map[ServiceID]bool)
	for _, r := range configuration.Routes {
		for _, s := range r.Shares {
			inForce[s.Service] = true
		}
	}
	for service := range c {
		if !inForce[service] {
			delete(c, service)
		}
	}
}

// DemandCount is the totals of a service and priority at a node since its process started.
// They start at 0 again when a service returns to the configuration.
type DemandCount struct {
	Service  string `json:"service"`
	Priority uint8  `json:"priority"`
	// Asked, Queued, Reoffered and Late are counted by balancers only.
	Asked     uint64 `json:"asked,omitempty"`
	Admitted  uint64 `json:"admitted"`
	Queued    uint64 `json:"queued,omitempty"`
	Reoffered uint64 `json:"reoffered,omitempty"`
	Late      uint64 `json:"late,omitempty"`
	// Refused is the number of refusals by reason, without those that did not occur.
	Refused map[string]uint64 `json:"refused,omitempty"`
}

// snapshot returns the counts that are not all 0, sorted by service and priority.
func (c demandCounters) snapshot(name func(ServiceID) string) []DemandCount {
	var out []DemandCount
	for service, byPriority := range c {
		for priority := range byPriority {
			counts := &byPriority[priority]
			if *counts == (demandCounts{}) {
				continue
			}
			d := DemandCount{
				Service: name(service), Priority: uint8(priority),
				Asked: counts.events[demandAsked], Admitted: counts.events[demandAdmitted], Queued: counts.events[demandQueued],
				Reoffered: counts.events[demandReoffered], Late: counts.events[demandLate],
			}
			for i, n := range counts.refused {
				if n == 0 {
					continue
				}
				if d.Refused == nil {
					d.Refused = make(map[string]uint64)
				}
				d.Refused[reasonName(i)] = n
			}
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(x, y DemandCount) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Priority, y.Priority))
	})
	return out
}

// demandOf returns the counts of a flow of a route.
func (b *Balancer) demandOf(f Flow, r *Route) *demandCounts {
	return b.demand.of(r.pickService(f.Hash()), r.Demand.Priority)
}

// countAsked counts an opening by its first copy.
func (b *Balancer) countAsked(s *Segment, r *Route) {
	if s.Ack == 0 {
		b.demandOf(s.Flow, r).events[demandAsked]++
	}
}

// countOpeningQueued counts an opening that waits for an agent.
func (b *Balancer) countOpeningQueued(f Flow, r *Route) { b.demandOf(f, r).events[demandQueued]++ }

// countOffer counts an offer that follows another one of the same opening.
func (b *Balancer) countOffer(e *flowEntry, f Flow, r *Route) {
	if e.numOffered > 0 {
		b.demandOf(f, r).events[demandReoffered]++
	}
}

// countRefused counts an opening that the balancer refuses or drops.
func (b *Balancer) countRefused(f Flow, r *Route, reason string) {
	b.demandOf(f, r).refused[reasonIndex(reason)]++
}

// countAdmitted counts an opening to which the target has responded, as the caller's first
// segment after it shows.
func (b *Balancer) countAdmitted(now time.Time, e *flowEntry, s *Segment) {
	if e.stage != stageOpening || !s.Flags.Has(FlagAck) {
		return
	}
	r := b.config.route(s.Flow.Address)
	if r == nil {
		return
	}
	counts := b.demandOf(s.Flow, r)
	counts.events[demandAdmitted]++
	if r.Demand.Objective > 0 && now.Sub(e.firstSent) > r.Demand.Objective {
		counts.events[demandLate]++
	}
}

// DemandCounts returns the balancer's totals by service and priority.
func (b *Balancer) DemandCounts() []DemandCount { return b.demand.snapshot(b.serviceName) }

// unknownService is the name of a service that the configuration does not declare.
const unknownService = "unknown"

func (b *Balancer) serviceName(id ServiceID) string {
	if c := b.config.state.Configuration; c != nil && c.ServiceNames[id] != "" {
		return c.ServiceNames[id]
	}
	return unknownService
}

// DemandView is the totals of a service and priority at a balancer, and its openings that wait
// for an agent.
type DemandView struct {
	DemandCount
	Waiting int `json:"waiting,omitempty"`
	// OldestWaitMS is how long the oldest of them has waited.
	OldestWaitMS int64 `json:"oldest_wait_ms,omitempty"`
}

// demandViews returns the totals and the waiting openings by service and priority.
func (b *Balancer) demandViews(now time.Time) []DemandView {
	type key struct {
		service  string
		priority uint8
	}
	index := make(map[key]int)
	var views []DemandView
	for _, c := range b.DemandCounts() {
		index[key{c.Service, c.Priority}] = len(views)
		views = append(views, DemandView{DemandCount: c})
	}
	for _, queue := range b.queues {
		for _, f := range queue {
			e, r := b.entries[f], b.config.route(f.Address)
			if e == nil || e.stage != stageQueued || r == nil {
				continue
			}
			i, ok := index[key{b.serviceName(r.pickService(f.Hash())), min(r.Demand.Priority, NumPriorities-1)}]
			if !ok {
				continue // its service has just returned to the configuration
			}
			views[i].Waiting++
			views[i].OldestWaitMS = max(views[i].OldestWaitMS, ageMS(now, e.queuedAt))
		}
	}
	return views
}

// demandOf returns the agent's counts of a priority. An agent counts its target's service only.
func (a *Agent) demandOf(d Demand) *demandCounts {
	service := a.target.service
	if a.demand[service] == nil {
		clear(a.demand)
	}
	return a.demand.of(service, d.Priority)
}

// countAdmitted counts an opening that the agent delivers.
func (a *Agent) countAdmitted(msg *Message) { a.demandOf(msg.Demand).events[demandAdmitted]++ }

// countRefused counts an opening that the agent refuses.
func (a *Agent) countRefused(d Demand, refusal Refusal) {
	a.demandOf(d).refused[min(refusal, RefusedFailing)]++
}

// DemandCounts returns the agent's totals by priority.
func (a *Agent) DemandCounts() []DemandCount {
	return a.demand.snapshot(func(ServiceID) string {
		if a.target.name == "" {
			return unknownService
		}
		return a.target.name
	})
}
