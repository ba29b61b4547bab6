package steering

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// advertiseChange sends the status to all balancers when the agent begins or ceases to
// open flows, and when it has received a newer configuration revision. A trial at a failing
// target is not advertised.
func (a *Agent) advertiseChange(now time.Time) {
	refusal := a.checkAdmission(now, a.target.service, classOther)
	if refusal == NotRefused && a.health.detector.Failing() {
		refusal = RefusedFailing // only a trial is admitted
	}
	ceasedFailing := a.sentRefusal == RefusedFailing && !a.health.detector.Failing()
	changed := ceasedFailing || refusal != a.sentRefusal && refusal != RefusedCold && refusal != RefusedSilent && refusal != RefusedBusy
	if !changed && a.limits.Revision == a.sentRevision {
		return
	}
	if ceasedFailing && (refusal == RefusedCold || refusal == RefusedSilent || refusal == RefusedBusy) {
		refusal = NotRefused // these are not advertised
	}
	a.sentRefusal, a.sentRevision = refusal, a.limits.Revision
	for _, to := range slices.SortedFunc(maps.Keys(a.balancers.byPeer), netip.AddrPort.Compare) {
		a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
	}
}

// updateLimits applies limits unless newer ones are in force.
func (a *Agent) updateLimits(now time.Time, ping *Message) {
	limits := ping.Limits
	a.memberRevision = revision.Later(a.memberRevision, limits.MemberRevision)
	if limits.Revision.Before(a.limits.Revision) {
		return
	}
	if limits.Revision.After(a.limits.Revision) {
		a.confirmedAt = time.Time{}
	}
	if at := now.Add(-ping.ConfirmedAge); ping.ConfirmedAge < MaxConfirmedAge && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
	if limits.DomainOut != a.limits.DomainOut {
		state := "back in service"
		if limits.DomainOut {
			state = "taken out"
		}
		a.report(Report{Text: "Failure domain changed.", Node: a.identity.Domain, Why: state, Revision: limits.Revision})
	}
	a.limits = limits
}

// status returns the status that the agent reports to balancers.
func (a *Agent) status(now time.Time) Status {
	t := &a.target
	return Status{
		Incarnation: a.identity.Incarnation, Service: t.service, Refusal: a.checkAdmission(now, t.service, classOther),
		Slots: uint16(min(t.slots, 1<<16-1)), InFlight: uint16(min(a.flows.busy, 1<<16-1)),
		Concurrency:        uint16(min(a.concurrency(), 1<<16-1)),
		RequestsPerSecond:  uint16(min(a.flows.requestsPerSecond(t.slots), 1<<16-1)),
		Ahead:              a.flows.aheadByPriority(),
		RequestTime:        time.Duration(a.flows.meanRequestTime),
		SingleRequestLimit: uint8(a.requestLimitPerSlot(classSingleRequest)),
		Flows:              uint32(len(a.flows.byFlow)), Revision: a.limits.Revision,
		ConfirmedAge: confirmedAge(now, a.confirmedAt),
		Balancers:    uint16(min(len(a.balancers.byPeer), 1<<16-1)),
	}
}
