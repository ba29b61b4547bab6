package steering

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// tellChange tells the balancers when the agent begins or ceases to open flows,
// and when it has heard of a newer configuration.
func (a *Agent) advertiseChange(now time.Time) {
	why := a.checkAdmission(now, a.target.service, classOther)
	changed := why != a.sentRefusal && why != RefusedCold && why != RefusedSilent && why != RefusedBusy
	if !changed && a.limits.Revision == a.sentRevision {
		return
	}
	a.sentRefusal, a.sentRevision = why, a.limits.Revision
	for _, to := range slices.SortedFunc(maps.Keys(a.balancers.byPeer), netip.AddrPort.Compare) {
		a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
	}
}

// takeLimits keeps the newest limits.
func (a *Agent) updateLimits(l Limits) {
	a.memberRevision = max(a.memberRevision, l.MemberRevision)
	if l.Revision < a.limits.Revision {
		return
	}
	if l.DomainOut != a.limits.DomainOut {
		why := "back in service"
		if l.DomainOut {
			why = "taken out"
		}
		a.report(Report{Text: "Failure domain changed.", Node: a.identity.Domain, Why: why, Version: int64(l.Revision)})
	}
	a.limits = l
}

// status returns what balancers learn with a pong.
func (a *Agent) status(now time.Time) Status {
	t := &a.target
	return Status{
		Epoch: a.identity.Incarnation, Service: t.service, Refusal: a.checkAdmission(now, t.service, classOther),
		Slots: uint16(min(t.slots, 1<<16-1)), Busy: uint16(min(a.flows.busy, 1<<16-1)),
		PerSecond:    uint16(min(a.flows.requestsPerSecond(t.slots), 1<<16-1)),
		BriefPerSlot: uint8(a.requestLimitPerSlot(classBrief)),
		Flows:        uint32(len(a.flows.byFlow)), Revision: a.limits.Revision,
		Balancers: uint16(min(len(a.balancers.byPeer), 1<<16-1)),
	}
}
