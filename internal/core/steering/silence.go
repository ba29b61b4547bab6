package steering

import (
	"slices"
	"time"
)

const (
	// silentPingTimeout is how long an agent of the own failure domain may take to reply to
	// the ping that a copy of an opening causes: many round trips, and the time in which a
	// busy host runs its processes in turn.
	silentPingTimeout = 25 * time.Millisecond
	// remoteSilentPingTimeout is the same for other failure domains, whose round trip is
	// longer.
	remoteSilentPingTimeout = 50 * time.Millisecond
	// silentPingInterval is the minimum time between such pings to one agent.
	silentPingInterval = 50 * time.Millisecond
	// lateTick is the time between two ticks from which the balancer may have been
	// suspended, with replies unread in its socket.
	lateTick = tickInterval * 3 / 2
	// maxSuspectShare is the share of a service's live agents up to which silent ones are
	// suspect. With two failure domains, the loss of one silences half. If more are
	// silent, it is more likely that this balancer is cut off or starved.
	maxSuspectShare = 0.5
)

// awaitedOpening is the copy of an opening whose agent has not been heard since the offer.
type awaitedOpening struct {
	segment Segment
	agent   *member
	sentAt  time.Time
}

// silenceSection detects agents that do not reply to openings of routes with an objective.
type silenceSection struct {
	// awaited are the openings that go to another agent if theirs becomes suspect, at most
	// maxQueued.
	awaited  []awaitedOpening
	lastTick time.Time
	// lateTickAt is the time of the last tick that came late.
	lateTickAt time.Time
}

// recordAlive records that the agent was running at a time. It ends a suspicion that began
// before.
func (m *member) recordAlive(at time.Time) {
	if at.After(m.aliveAt) {
		m.aliveAt = at
	}
	if !at.Before(m.silentPingAt) {
		m.silentPingAt, m.silent, m.suspect = time.Time{}, false, false
	}
}

// isUnheard reports whether nothing shows that the entry's agent was running after the
// opening was offered to it.
func (e *flowEntry) isUnheard() bool { return !e.agent.aliveAt.After(e.sentAt) }

// recordOpened records that the agent of an opening flow has opened it, by the caller's
// next segment. That is uncertain if another agent has not replied to the opening, or
// another balancer may have offered it.
func (e *flowEntry) recordOpened(s *Segment) {
	if e.stage == stageOpening && e.firstCopy == 0 && !e.mayBeOpen && s.Flags.Has(FlagAck) && !s.Flags.Has(FlagReset) {
		e.agent.recordAlive(e.sentAt)
	}
}

// isDelayedFirst reports whether the first copy of an opening arrives after a later one
// has moved the opening. Its caller can't have begun another attempt from the same port.
func (e *flowEntry) isDelayedFirst(now time.Time, s *Segment) bool {
	return s.Ack == 0 && e.movedFrom != nil && (e.stage == stageOpening || e.stage == stageQueued) && e.age(now) < queueTimeout
}

// awaitReply keeps the copy of an opening whose agent has not been heard since the offer,
// and pings the agent.
func (b *Balancer) awaitReply(now time.Time, e *flowEntry, s Segment) {
	if len(b.silence.awaited) < maxQueued {
		s.Raw = slices.Clone(s.Raw)
		b.silence.awaited = append(b.silence.awaited, awaitedOpening{segment: s, agent: e.agent, sentAt: e.sentAt})
	}
	b.pingUnheard(now, e.agent)
}

// pingUnheard pings an agent for which openings wait, unless a reply to such a ping is
// still awaited.
func (b *Balancer) pingUnheard(now time.Time, m *member) {
	if m.silentPingAt.IsZero() && now.Sub(m.lastSilentPing) >= silentPingInterval {
		m.silentPingAt, m.lastSilentPing = now, now
		b.ping(now, m)
	}
}

// waiting returns the entry of an opening that still waits for its agent, nil if it does
// not.
func (b *Balancer) waiting(now time.Time, o *awaitedOpening) *flowEntry {
	e := b.entries[o.segment.Flow]
	if e == nil || e.stage != stageOpening || e.agent != o.agent || !e.sentAt.Equal(o.sentAt) || e.agent.removed || !e.isUnheard() || e.age(now) >= queueTimeout {
		return nil
	}
	return e
}

// isSilentPingOverdue reports whether the agent has not replied in time to the ping that a
// copy of an opening caused. The time before a late tick does not count.
func (b *Balancer) isSilentPingOverdue(now time.Time, m *member) bool {
	since := m.silentPingAt
	if since.IsZero() {
		return false
	}
	if b.silence.lateTickAt.After(since) {
		since = b.silence.lateTickAt
	}
	timeout := silentPingTimeout
	if !m.local {
		timeout = remoteSilentPingTimeout
	}
	return now.Sub(since) >= timeout
}

// judgeSilentAgents makes agents suspect for which openings wait and which do not reply,
// and offers these openings to other agents.
func (b *Balancer) judgeSilentAgents(now time.Time) {
	s := &b.silence
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > lateTick {
		s.lateTickAt = now
	}
	s.lastTick = now
	s.awaited = slices.DeleteFunc(s.awaited, func(o awaitedOpening) bool { return b.waiting(now, &o) == nil })
	for i := range s.awaited {
		if m := s.awaited[i].agent; b.isSilentPingOverdue(now, m) {
			m.silent = true
		}
	}
	b.suspectSilent(now)
	awaited := s.awaited
	s.awaited = s.awaited[:0] // at most one is added for each that is read
	for _, o := range awaited {
		e, r := b.waiting(now, &o), b.config.route(o.segment.Flow.Address)
		switch {
		case e == nil || !r.hasObjective():
		case o.agent.suspect && b.countQueued() < maxQueued:
			b.moveOpening(now, e, o.segment, r)
		default:
			s.awaited = append(s.awaited, o)
			b.pingUnheard(now, o.agent)
		}
	}
	clear(awaited[len(s.awaited):])
}

// suspectSilent makes the silent agents of each service suspect unless too many are silent.
func (b *Balancer) suspectSilent(now time.Time) {
	few := make(map[ServiceID]bool)
	for _, m := range b.members.all {
		if !m.silent {
			continue
		}
		if _, ok := few[m.service]; !ok {
			few[m.service] = b.areFewSilent(now, m.service)
		}
		was := m.suspect
		m.suspect = few[m.service]
		if m.suspect && !was {
			b.reportSuspect(now, m)
		}
	}
}

// areFewSilent reports whether at most maxSuspectShare of a service's live agents are
// silent.
func (b *Balancer) areFewSilent(now time.Time, service ServiceID) bool {
	live, silent := 0, 0
	for _, m := range b.members.byService[service] {
		if m.isLive(now) {
			live++
			if m.silent {
				silent++
			}
		}
	}
	return float64(silent) <= maxSuspectShare*float64(live)
}

func (b *Balancer) reportSuspect(now time.Time, m *member) {
	r := Report{Text: "Agent does not reply and gets no new flows.", Node: m.record.Node, Why: "ping for openings is unanswered", Age: now.Sub(m.aliveAt)}
	for i := range b.silence.awaited {
		if o := &b.silence.awaited[i]; o.agent == m {
			r.Count++
			r.Flow = o.segment.Flow
		}
	}
	b.report(r)
}

// moveOpening offers an opening whose agent does not reply to another one. The first agent
// may have opened the flow.
func (b *Balancer) moveOpening(now time.Time, e *flowEntry, s Segment, r *Route) {
	b.Counters.OpeningsMoved.Add(1)
	e.mayBeOpen = true
	if e.movedFrom == nil {
		e.movedFrom = e.agent
	}
	b.offerNext(now, e, s, r)
}
