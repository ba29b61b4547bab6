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
	waiters    []capacityWaiter
	lastNotice time.Time
}

// capacityWaiter is a balancer and the most important demand that was refused to it.
type capacityWaiter struct {
	balancer netip.AddrPort
	demand   Demand
}

// add records that a flow of a balancer was refused.
func (w *capacityWaitList) add(balancer netip.AddrPort, demand Demand) {
	demand.Priority = limitPriority(demand.Priority)
	if demand.Objective <= 0 {
		// Without an objective, balancers are notified in the order of their refusals.
		demand = Demand{Priority: NumPriorities - 1}
	}
	i := slices.IndexFunc(w.waiters, func(known capacityWaiter) bool { return known.balancer == balancer })
	if i < 0 {
		w.waiters = append(w.waiters, capacityWaiter{balancer, demand})
		return
	}
	known := &w.waiters[i].demand
	if demand.Priority < known.Priority || demand.Priority == known.Priority && demand.Objective > known.Objective {
		*known = demand
	}
}

// nextWaiter returns the position of the next balancer to notify: of those whose demand would
// be admitted, the first with the highest priority. It returns -1 if there is none. As this
// runs in each step, no demand is checked after one of the same priority that has an objective
// as long and would be refused.
func (a *Agent) nextWaiter(now time.Time) int {
	waiters := a.capacityWaiters.waiters
	for priority := range uint8(NumPriorities) {
		refused := [2]time.Duration{-1, -1} // the longest objective, without and with one
		for i := range waiters {
			d := waiters[i].demand
			group := countOf(d.Objective > 0)
			if d.Priority != priority || d.Objective <= refused[group] {
				continue
			}
			if a.checkOpening(now, a.target.service, classOther, d, nil) == NotRefused {
				return i
			}
			refused[group] = d.Objective
		}
	}
	return -1
}

// notifyCapacity notifies the next waiting balancer of free capacity. That balancer has
// queued flows, or had some.
func (a *Agent) notifyCapacity(now time.Time) {
	w := &a.capacityWaiters
	if len(w.waiters) == 0 || now.Sub(w.lastNotice) < capacityNoticeInterval {
		return
	}
	next := a.nextWaiter(now)
	if next < 0 {
		return
	}
	to := w.waiters[next].balancer
	w.waiters = slices.Delete(w.waiters, next, next+1)
	w.lastNotice = now
	a.send(to, Message{Kind: MessagePong, Status: a.status(now)})
}
