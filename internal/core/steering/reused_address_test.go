package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// reusedPeer is the address that a new agent has after a lost one.
var reusedPeer = netip.MustParseAddrPort("10.0.0.9:7000")

// recordAt returns the record of a node at reusedPeer.
func recordAt(node string) steering.AgentRecord {
	return steering.AgentRecord{Node: node, Domain: "d", Service: serviceName, Peer: reusedPeer, Incarnation: 1}
}

// A host is lost and another one gets its address, while the record of the lost one has not
// lapsed yet. The new agent must stay known, or its flows are called lost (review/2).
func TestAgentAtTheAddressOfALostOneStaysKnown(t *testing.T) {
	for _, names := range [][2]string{{"side-9", "side-10"}, {"side-10", "side-9"}} {
		lost, added := names[0], names[1]
		t.Run(added+" after "+lost, func(t *testing.T) {
			b := newRestoredBalancer()
			load := func(number int64, records ...steering.AgentRecord) {
				b.Step(b.now, &steering.MembersLoaded{Revision: revisionOf(number), VerifiedRevision: revisionOf(number), Records: records})
			}
			load(2, recordAt(lost))
			b.answer(steering.Status{Incarnation: 1})
			b.wait(8 * time.Second) // lost
			load(3, recordAt(lost), recordAt(added))
			b.wait(100 * time.Millisecond)
			b.answer(steering.Status{Incarnation: 2})
			for number := int64(4); number < 30; number += 11 {
				load(number, recordAt(lost), recordAt(added))
				b.requireListed(t, added)
				b.wait(8 * time.Second) // pings of remote agents are rare
				load(number+5, recordAt(lost), recordAt(added))
				b.requireListed(t, added)
				b.answer(steering.Status{Incarnation: 2})
			}
			load(50, recordAt(added)) // the lost one's record has lapsed
			b.wait(time.Second)
			b.requireListed(t, added)
		})
	}
}

// answer passes the pong of the agent at reusedPeer to the balancer.
func (b *restoredBalancer) answer(s steering.Status) {
	b.Step(b.now, &steering.MessageReceived{From: reusedPeer, Message: steering.Message{Kind: steering.MessagePong, Status: s}})
}

// requireListed checks that a node is the only one that the balancer knows at reusedPeer, and
// that the balancer remembers that it has replied.
func (b *restoredBalancer) requireListed(t *testing.T, node string) {
	t.Helper()
	var nodes []string
	for _, p := range b.View(b.now).Peers {
		if p.Address == reusedPeer {
			nodes = append(nodes, p.Node)
			if p.LastSeenMS < 0 {
				t.Errorf("the balancer has forgotten that %s has replied", p.Node)
			}
		}
	}
	if len(nodes) != 1 || nodes[0] != node {
		t.Fatalf("the balancer knows %q at the address, want %s", nodes, node)
	}
}

// A search that waits for the lost agent must end with the word of the one at its address.
func TestSearchDoesNotWaitForAnAgentWhoseAddressWasReused(t *testing.T) {
	w, callers := newSteadyWorld(t, 33, 2, 3, 30)
	lost := w.agents[0]
	lost.up, lost.target.up = false, false
	w.run(6 * time.Second)
	w.sendRequests(callers, 200*time.Millisecond)
	added := &agentNode{name: "agent-00", domain: lost.domain, addr: lost.addr}
	w.agents = append(w.agents, added)
	w.startAgent(added)
	w.startTarget(added)
	w.run(4 * time.Second)
	for _, c := range callers {
		if c.holder == lost.target && !c.reset {
			t.Errorf("flow %s of the lost target was not reset", c.flow)
		}
	}
}
