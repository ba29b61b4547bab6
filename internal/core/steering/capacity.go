package steering

import (
	"net/netip"
	"slices"
	"time"
)

// capacityNoticeInterval is the time that a notified balancer has before the next one
// is notified: a round trip within a failure domain.
const capacityNoticeInterval = 2 * time.Millisecond

// capacityWaitList lists the balancers whose flows an agent refused because its target
// was busy, in the order of their refusals. When there is capacity again, one of them
// is notified and offers its newest flow. If all were notified, or retried on their
// own, many would compete for each slot.
type capacityWaitList struct {
	balancers  []netip.AddrPort
	lastNotice time.Time
}

func (w *capacityWaitList) add(balancer netip.AddrPort) {
	if !slices.Contains(w.balancers, balancer) {
		w.balancers = append(w.balancers, balancer)
	}
}

// notifyCapacity notifies the next waiting balancer of free capacity. That balancer has
// queued flows, or had some.
func (a *Agent) notifyCapacity(now time.Time) {
	w := &a.capacityWaiters
	if len(w.balancers) == 0 || now.Sub(w.lastNotice) < capacityNoticeInterval || a.checkAdmission(now, a.target.service, classOther, nil) != NotRefused {
		return
	}
	to := w.balancers[0]
	w.balancers = slices.Delete(w.balancers, 0, 1)
	w.lastNotice = now
	a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
}
