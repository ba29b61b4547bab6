package steering

import (
	"net/netip"
	"slices"
	"time"
)

// inviteGap is the time that an invited balancer has before the next one is: a way
// there and back within a failure domain.
const capacityNoticeInterval = 2 * time.Millisecond

// turnedAway is the balancers whose flows an agent has refused as its target had all
// the work that it can queue, the earliest first. When there is room again one is
// told, and offers its newest flow. If all were told, or guessed, many would ask for
// each slot.
type capacityWaitList struct {
	balancers  []netip.AddrPort
	lastNotice time.Time
}

func (t *capacityWaitList) add(balancer netip.AddrPort) {
	if !slices.Contains(t.balancers, balancer) {
		t.balancers = append(t.balancers, balancer)
	}
}

// invite tells the next balancer that there is room. It has flows waiting, or had.
func (a *Agent) notifyCapacity(now time.Time) {
	t := &a.capacityWaiters
	if len(t.balancers) == 0 || now.Sub(t.lastNotice) < capacityNoticeInterval || a.checkAdmission(now, a.target.service, classOther) != RefusedNot {
		return
	}
	to := t.balancers[0]
	t.balancers = slices.Delete(t.balancers, 0, 1)
	t.lastNotice = now
	a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
}
