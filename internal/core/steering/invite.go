package steering

import (
	"net/netip"
	"slices"
	"time"
)

// inviteGap is the time that an invited balancer has before the next one is: a way
// there and back within a failure domain.
const inviteGap = 2 * time.Millisecond

// turnedAway is the balancers whose flows an agent has refused as its target had all
// the work that it can queue, the earliest first. When there is room again one is
// told, and offers its newest flow. If all were told, or guessed, many would ask for
// each slot.
type turnedAway struct {
	balancers []netip.AddrPort
	invited   time.Time
}

func (t *turnedAway) add(balancer netip.AddrPort) {
	if !slices.Contains(t.balancers, balancer) {
		t.balancers = append(t.balancers, balancer)
	}
}

// invite tells the next balancer that there is room. It has flows waiting, or had.
func (a *Agent) invite(now time.Time) {
	t := &a.turned
	if len(t.balancers) == 0 || now.Sub(t.invited) < inviteGap || a.refusal(now, a.target.service, classOther) != NotRefused {
		return
	}
	to := t.balancers[0]
	t.balancers = slices.Delete(t.balancers, 0, 1)
	t.invited = now
	a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
}
