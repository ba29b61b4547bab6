package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Strategy is a way to carry flows.
type Strategy string

// The strategies that are compared.
const (
	// StrategyHome is the product's: homes and holders.
	StrategyHome Strategy = "home"
	// StrategyTable is a flow table in each balancer over rendezvous hashing.
	StrategyTable Strategy = "flow table"
	// StrategyHash is rendezvous hashing without any state.
	StrategyHash Strategy = "hash only"
)

const (
	initialByte = 0xc0 // first byte of a QUIC Initial packet
	shortByte   = 0x40 // first byte of a QUIC short header packet

	// openRetry is how often a caller repeats an unanswered opener.
	openRetry = 500 * time.Millisecond
	// idleTimeout ends an established flow without an answer at its caller,
	// as QUIC's idle timeout does.
	idleTimeout = 30 * time.Second
)

// Flow is one caller's flow.
type Flow struct {
	Key model.FlowKey
	// Target is the agent that answered first; nil until then.
	Target  *Agent
	Broken  bool
	GivenUp bool
	Reason  string
	// Stall is the longest time without an answer beyond the interval.
	Stall    time.Duration
	interval time.Duration
	answered time.Time
	ended    bool
}

// Established reports whether the flow has been answered.
func (fl *Flow) Established() bool { return fl.Target != nil }

// Open starts a flow that sends a datagram every interval.
func (f *Fleet) Open(interval time.Duration) *Flow {
	i := len(f.Flows)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), uint16(20000+i%40000))
	fl := &Flow{Key: model.FlowKey{Caller: caller, Service: ServiceName.ID()}, interval: interval}
	f.Flows = append(f.Flows, fl)
	f.byKey[fl.Key] = fl
	f.sendNext(fl)
	return fl
}

// Close ends a flow at its caller and its target.
func (f *Fleet) Close(fl *Flow) {
	fl.ended = true
	if a := fl.Target; a != nil && a.connections[fl.Key] {
		delete(a.connections, fl.Key)
		f.step(a, core.FlowClosed{Flow: fl.Key})
	}
}

// sendNext sends the flow's next datagram through a balancer picked at random.
func (f *Fleet) sendNext(fl *Flow) {
	if fl.ended || fl.Broken || fl.GivenUp {
		return
	}
	f.checkStall(fl)
	payload, wait := []byte{shortByte}, fl.interval
	if !fl.Established() {
		payload, wait = []byte{initialByte}, openRetry
	}
	f.send(fl, payload)
	f.at(wait, func() { f.sendNext(fl) })
}

func (f *Fleet) checkStall(fl *Flow) {
	if fl.Established() && f.now.Sub(fl.answered) > idleTimeout {
		f.end(fl, "no answer")
	}
}

// end marks an established flow as broken, or as given up where operators
// took its failure domain out.
func (f *Fleet) end(fl *Flow, reason string) {
	fl.Reason = reason
	domain := fl.Target.Member.Domain
	if f.config.DomainOut(domain) || fl.Target.node.Board().Self.DomainOut {
		fl.GivenUp = true
		return
	}
	fl.Broken = true
}

// send hands a datagram to a random balancer that is up.
func (f *Fleet) send(fl *Flow, payload []byte) {
	var up []*Balancer
	for _, b := range f.Balancers {
		if !b.Down {
			up = append(up, b)
		}
	}
	b := up[f.rand.IntN(len(up))]
	f.Cost.Packets++
	if to, ok := f.route(b, fl.Key, payload); ok {
		f.transmit(netip.AddrPort{}, to, wire.Header{Kind: wire.KindPacket, Service: fl.Key.Service, Caller: fl.Key.Caller}, payload)
	}
}

// route picks the agent to which a balancer sends a datagram.
func (f *Fleet) route(b *Balancer, key model.FlowKey, payload []byte) (netip.AddrPort, bool) {
	v := b.node.Board().Routes.Views[key.Service]
	if v == nil {
		return netip.AddrPort{}, false
	}
	if f.options.Strategy == StrategyHome {
		home := routing.Home(v, key.Hash())
		if home == nil {
			return netip.AddrPort{}, false
		}
		return home.Member.DataAddr, true
	}
	return f.routeBaseline(b, v, key, payload)
}

// routeBaseline picks the highest ranked candidate that admits flows. With a
// flow table, a balancer stays with its first choice while that is a member.
func (f *Fleet) routeBaseline(b *Balancer, v *core.View, key model.FlowKey, payload []byte) (netip.AddrPort, bool) {
	if f.options.Strategy == StrategyTable && payload[0] == shortByte {
		for _, c := range v.Candidates {
			if c.Member.Node == b.table[key] {
				return c.Member.DataAddr, true
			}
		}
	}
	for _, c := range routing.Rank(v, key.Hash(), nil) {
		if c.AcceptsNewFlows {
			b.table[key] = c.Member.Node
			return c.Member.DataAddr, true
		}
	}
	return netip.AddrPort{}, false
}

// deliverStateless is the agent of the baselines: an opener starts a flow, any
// other datagram of an unknown flow is reset.
func (f *Fleet) deliverStateless(a *Agent, key model.FlowKey, payload []byte) {
	fl := f.byKey[key]
	if a.node.Board().Self.DomainOut {
		f.closeLocal(a, key)
		return
	}
	if payload[0] == initialByte {
		a.connections[key] = true
	}
	if a.connections[key] {
		f.answer(a, fl)
		return
	}
	if fl.Established() && !fl.ended {
		f.end(fl, "reset by "+string(a.Member.Node))
	}
}

// deliver hands a datagram to the local end of a flow at an agent.
func (f *Fleet) deliver(a *Agent, key model.FlowKey, payload []byte) {
	fl := f.byKey[key]
	opens := payload[0] == initialByte || f.options.Mode == model.ModeFlow
	if opens && !a.connections[key] {
		a.connections[key] = true
		f.at(2*f.options.Delay, func() { f.step(a, core.FlowEstablished{Flow: key}) })
	}
	if !a.connections[key] {
		return
	}
	if held := f.limitOf(a); a.node.Board().Flows.Local > held {
		f.violate("%s holds %d flows, limit %d", a.Member.Node, a.node.Board().Flows.Local, held)
	}
	if a.node.Board().Self.DomainOut {
		f.violate("%s got a datagram in a failure domain that is out", a.Member.Node)
	}
	f.answer(a, fl)
}

func (f *Fleet) limitOf(*Agent) int { return f.options.Connections }

// answer notes an answer that reached the caller. The first one that arrives
// decides the flow's target.
func (f *Fleet) answer(a *Agent, fl *Flow) {
	if fl.ended || fl.Broken || fl.GivenUp {
		return
	}
	if fl.Target == nil {
		fl.Target = a
	}
	if fl.Target == a {
		if !fl.answered.IsZero() {
			fl.Stall = max(fl.Stall, f.now.Sub(fl.answered)-fl.interval)
		}
		fl.answered = f.now
		return
	}
	if f.options.Mode == model.ModeFlow || !fl.Target.connections[fl.Key] {
		f.end(fl, fmt.Sprintf("moved from %s to %s", fl.Target.Member.Node, a.Member.Node))
	}
}

func (f *Fleet) violate(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now())+fmt.Sprintf(format, args...))
}
