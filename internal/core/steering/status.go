package steering

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// tellChange tells the balancers when the agent begins or ceases to open flows,
// and when it has heard of a newer configuration.
func (a *Agent) tellChange(now time.Time) {
	why := a.refusal(now, a.target.service, classOther)
	changed := why != a.told && why != RefusedCold && why != RefusedSilent && why != RefusedBusy
	if !changed && a.limits.Revision == a.toldRevision {
		return
	}
	a.told, a.toldRevision = why, a.limits.Revision
	for _, to := range slices.SortedFunc(maps.Keys(a.askers.byPeer), netip.AddrPort.Compare) {
		a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
	}
}

// takeLimits keeps the newest limits.
func (a *Agent) takeLimits(l Limits) {
	a.memberRevision = max(a.memberRevision, l.MemberRevision)
	if l.Revision < a.limits.Revision {
		return
	}
	if l.DomainOut != a.limits.DomainOut {
		why := "back in service"
		if l.DomainOut {
			why = "taken out"
		}
		a.report(Report{Text: "Failure domain changed.", Node: a.self.Domain, Why: why, Version: int64(l.Revision)})
	}
	a.limits = l
}

// status returns what balancers learn with a pong.
func (a *Agent) status(now time.Time) Status {
	t := &a.target
	return Status{
		Incarnation: a.self.Incarnation, Service: t.service, Refusal: a.refusal(now, t.service, classOther),
		Slots: uint16(min(t.slots, 1<<16-1)), InFlight: uint16(min(a.flows.busy, 1<<16-1)),
		RequestsPerSecond:  uint16(min(a.flows.perSecond(t.slots), 1<<16-1)),
		SingleRequestLimit: uint8(a.maxWork(classSingleRequest)),
		Flows:              uint32(len(a.flows.byFlow)), Revision: a.limits.Revision,
		Balancers: uint16(min(len(a.askers.byPeer), 1<<16-1)),
	}
}
