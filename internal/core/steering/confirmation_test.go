package steering_test

import (
	"testing"
	"time"
)

// Numbers of balancers in a small and in a larger fleet.
const (
	fewBalancers  = 4
	manyBalancers = 25
)

// All watches are lost silently. Each balancer must have a change in force in time, by its
// own reads or by those of others.
func TestChangeIsInForceThoughAllWatchesAreLost(t *testing.T) {
	for _, balancers := range []int{1, fewBalancers, manyBalancers} {
		for seed := range uint64(10) {
			w, _ := newSteadyWorld(t, seed, balancers, 9, 1)
			w.run(time.Duration(seed) * 300 * time.Millisecond)
			w.version = 2
			w.revision++
			w.run(applyTimeout)
			for _, b := range w.balancers {
				if got := b.core.Version(); got != 2 {
					t.Errorf("seed %d, %d balancers: version %d is in force at %s", seed, balancers, got, b.addr)
				}
			}
		}
	}
}

// While nothing changes, a fleet must not read the store more often than four balancers
// that share nothing.
func TestConfirmationsAreShared(t *testing.T) {
	const (
		duration  = 15 * time.Second
		unshared  = 4
		longApply = 5 * time.Second // that of the larger fleets
	)
	for _, fleet := range []struct {
		balancers    int
		applyTimeout time.Duration
	}{{1, applyTimeout}, {fewBalancers, applyTimeout}, {manyBalancers, longApply}, {4 * manyBalancers, longApply}} {
		w := newWorld(t, 1)
		w.applyTimeout = fleet.applyTimeout
		for i := range 20 {
			w.addAgent(domainNames[i%len(domainNames)])
		}
		for i := range fleet.balancers {
			w.addBalancer(domainNames[i%len(domainNames)])
		}
		w.run(fleet.applyTimeout)
		before := w.countRefreshes()
		w.run(duration)
		most := unshared * int(duration/(fleet.applyTimeout/3))
		if reads := w.countRefreshes() - before; reads > most {
			t.Errorf("%d balancers read the store %d times in %v, want %d at most", fleet.balancers, reads, duration, most)
		}
	}
}

// A balancer that can't reach the store must not confirm its state to others.
func TestUnansweredReadsConfirmNothing(t *testing.T) {
	w, _ := newSteadyWorld(t, 2, fewBalancers, 9, 1)
	w.storeSilent = true
	w.run(2 * applyTimeout)
	for _, b := range w.balancers {
		if age, _ := b.core.ConfirmedAge(w.now); age < 2*applyTimeout-hopDelay {
			t.Errorf("%s takes its state as confirmed %v ago", b.addr, age)
		}
	}
}
