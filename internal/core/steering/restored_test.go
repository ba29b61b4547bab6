package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// restoredBalancer is a balancer with one agent, whose failure domain operators take out.
type restoredBalancer struct {
	*steering.Balancer
	now      time.Time
	revision int64
}

func newRestoredBalancer() *restoredBalancer {
	b := &restoredBalancer{now: time.Unix(1000, 0), Balancer: steering.NewBalancer(steering.BalancerIdentity{
		Identity: steering.Identity{Node: "b", Domain: "d"}, ApplyTimeout: applyTimeout,
	})}
	b.Step(b.now, &steering.MembersLoaded{Revision: revisionOf(1), VerifiedRevision: revisionOf(1), Records: []steering.AgentRecord{
		{Node: "a", Domain: "d", Service: serviceName, Peer: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1},
	}})
	return b
}

// load delivers the operators' entries as read in an era of the store.
func (b *restoredBalancer) load(era uint64, version int64, domainOut bool) {
	b.revision++
	state := steering.OperatorState{
		Era: era, Revision: revisionOf(b.revision), VerifiedRevision: revisionOf(b.revision), Configuration: &steering.Configuration{Version: version},
		DomainsOut: make(map[string]bool),
	}
	if domainOut {
		state.DomainsOut["d"] = true
	}
	b.Step(b.now, &steering.ConfigurationLoaded{State: state, ConfirmedAt: b.now})
}

// wait advances the time tick by tick and returns whether the last ping took the agent's
// domain out.
func (b *restoredBalancer) wait(d time.Duration) bool {
	out := false
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(steering.TickInterval)
		for _, e := range b.Step(b.now, &steering.Tick{}) {
			if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePing {
				out = e.Message.Limits.DomainOut
			}
		}
	}
	return out
}

// The copy from which the store was restored lacks the entry of a failure domain that is
// out. It must stay out until operators have had time to write the entry again.
func TestDomainStaysOutWhileARestoredStoreIsRewritten(t *testing.T) {
	const era = 2
	b := newRestoredBalancer()
	b.load(1, 1, true)
	b.load(era, 1, false)
	if !b.wait(time.Second) {
		t.Fatal("the domain is back in service before operators could write its entry again")
	}
	b.load(era, 1, true)
	if !b.wait(5 * time.Second) {
		t.Error("the domain is back in service although operators have written its entry again")
	}
	b.load(era, 1, false)
	if b.wait(time.Second) {
		t.Error("the domain stays out after operators have taken it back")
	}
}

// Operators had taken the failure domain back before the store was restored, or do so then.
func TestDomainIsBackInServiceAfterTheHold(t *testing.T) {
	b := newRestoredBalancer()
	b.load(1, 1, true)
	b.load(2, 1, false)
	if b.wait(5 * time.Second) {
		t.Error("the domain stays out without an entry")
	}
}

// The copy from which the store was restored holds an earlier configuration.
func TestRestoredConfigurationDoesNotReplaceANewerOne(t *testing.T) {
	b := newRestoredBalancer()
	b.load(1, 9, false)
	b.load(2, 5, false)
	if got := b.Version(); got != 9 {
		t.Errorf("version %d is in force, want 9", got)
	}
	b.load(2, 10, false)
	if got := b.Version(); got != 10 {
		t.Errorf("version %d is in force, want 10", got)
	}
}
