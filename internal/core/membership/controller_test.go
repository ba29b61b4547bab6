package membership_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

var start = time.Unix(1_800_000_000, 0)

func newNode(id model.NodeID, role model.Role) (*core.Node, *core.Board) {
	b := core.NewBoard(model.Member{Node: id, Role: role, Incarnation: 1, State: model.StateAlive})
	n := core.NewNode(b, 1, membership.New(membership.Options{}))
	n.Step(start, core.Tick{})
	return n, b
}

func agent(state model.MemberState, revision uint64) model.Member {
	return model.Member{Node: "agent", Role: model.RoleAgent, Incarnation: 5, Revision: revision, State: state}
}

func receiveRecords(n *core.Node, members ...model.Member) {
	n.Step(start, core.MessageReceived{From: "peer", Message: core.Delta{Members: members}})
}

// sentMessages returns the messages among the effects.
func sentMessages(effects []core.Effect) []core.Message {
	var out []core.Message
	for _, e := range effects {
		if m, ok := e.(core.SendMessage); ok {
			out = append(out, m.Message)
		}
	}
	return out
}

func TestHeartbeatOfGoneMemberIsNotAcknowledged(t *testing.T) {
	n, _ := newNode("balancer", model.RoleBalancer)
	receiveRecords(n, agent(model.StateAlive, 1))
	heartbeat := core.MessageReceived{From: "agent", Message: core.Heartbeat{Sequence: 3}}
	if got := sentMessages(n.Step(start, heartbeat)); len(got) != 1 || got[0] != (core.HeartbeatAck{Sequence: 3}) {
		t.Fatalf("reply to the live agent is %+v", got)
	}
	receiveRecords(n, agent(model.StateDead, 1))
	got := sentMessages(n.Step(start, heartbeat))
	if len(got) != 1 {
		t.Fatalf("reply to the dead agent is %+v", got)
	}
	if d, ok := got[0].(core.Delta); !ok || len(d.Members) != 1 || d.Members[0] != agent(model.StateDead, 1) {
		t.Fatalf("reply to the dead agent is %+v", got[0])
	}
	receiveRecords(n, agent(model.StateAlive, 2))
	if got := sentMessages(n.Step(start, heartbeat)); len(got) != 1 || got[0] != (core.HeartbeatAck{Sequence: 3}) {
		t.Fatalf("reply to the returned agent is %+v", got)
	}
}

func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	n, b := newNode("agent", model.RoleAgent)
	ack := func(at time.Duration, sequence uint64) {
		n.Step(start.Add(at), core.MessageReceived{From: "b", Message: core.HeartbeatAck{Sequence: sequence}})
	}
	ack(2900*time.Millisecond, 1)
	if !b.Lease.Valid(start.Add(2999*time.Millisecond)) || b.Lease.Valid(start.Add(3*time.Second)) {
		t.Fatalf("lease is valid until %v after the heartbeat", b.Lease.ValidUntil.Sub(start))
	}
	ack(2900*time.Millisecond, 2) // never sent
	if got := b.Lease.ValidUntil.Sub(start); got != 3*time.Second {
		t.Fatalf("acknowledgement of an unsent heartbeat extended the lease to %v", got)
	}
}

func TestRecordOfUnknownGoneMemberIsIgnored(t *testing.T) {
	n, b := newNode("balancer", model.RoleBalancer)
	receiveRecords(n, agent(model.StateDead, 1), model.Member{Node: "left", Role: model.RoleAgent, State: model.StateLeft})
	if got := len(b.Members.Records); got != 1 {
		t.Fatalf("%d records, want only the node's own", got)
	}
}

func TestRecordsAreReplacedOnlyBySupersedingOnes(t *testing.T) {
	n, b := newNode("balancer", model.RoleBalancer)
	higher := agent(model.StateAlive, 0)
	higher.Incarnation = 6
	steps := []struct {
		received, want model.Member
	}{
		{agent(model.StateAlive, 2), agent(model.StateAlive, 2)},
		{agent(model.StateDead, 1), agent(model.StateAlive, 2)},
		{agent(model.StateSuspect, 2), agent(model.StateSuspect, 2)},
		{agent(model.StateAlive, 2), agent(model.StateSuspect, 2)},
		{agent(model.StateDead, 2), agent(model.StateDead, 2)},
		{agent(model.StateAlive, 3), agent(model.StateAlive, 3)},
		{agent(model.StateLeft, 3), agent(model.StateLeft, 3)},
		{higher, higher},
		{agent(model.StateDead, 99), higher},
	}
	for i, step := range steps {
		receiveRecords(n, step.received)
		if got := b.Members.Records["agent"]; got != step.want {
			t.Fatalf("step %d: record is %+v, want %+v", i, got, step.want)
		}
	}
}

func TestAgentRemovesRecordsThatWatcherNoLongerLists(t *testing.T) {
	n, b := newNode("agent-0", model.RoleAgent)
	b.Self.Subscription = "drawings"
	n.Step(start, core.Tick{})
	moved := agent(model.StateAlive, 1)
	moved.Service = "drawings"
	receiveRecords(n, moved)
	reply := core.MemberBuckets{Count: 1, Indexes: []uint32{0}}
	for _, tt := range []struct {
		at   time.Duration
		want int
	}{{time.Second, 2}, {10 * time.Second, 1}} {
		n.Step(start.Add(tt.at), core.MessageReceived{From: "b", Message: reply})
		if got := len(b.Members.Records); got != tt.want {
			t.Fatalf("%v after the record arrived, %d records, want %d", tt.at, got, tt.want)
		}
	}
}

func TestPausedWatcherRestartsTimeouts(t *testing.T) {
	n, b := newNode("balancer", model.RoleBalancer)
	receiveRecords(n, agent(model.StateAlive, 1))
	n.Step(start, core.Tick{})
	n.Step(start, core.MessageReceived{From: "agent", Message: core.Heartbeat{Sequence: 1}})
	state := func(at time.Duration) model.MemberState {
		n.Step(start.Add(at), core.Tick{})
		return b.Members.Records["agent"].State
	}
	const pause = 20 * time.Second
	if got := state(pause); got != model.StateAlive {
		t.Fatalf("right after the pause the agent is %v", got)
	}
	for at := pause; at < pause+2900*time.Millisecond; at += core.TickInterval {
		if got := state(at); got != model.StateAlive {
			t.Fatalf("%v after the pause the agent is %v", at-pause, got)
		}
	}
	if got := state(pause + 3*time.Second); got != model.StateSuspect {
		t.Fatalf("3 s after the pause the silent agent is %v", got)
	}
}

// TestStoppingBalancerSuspectsNoNode covers a balancer in a planned stop: it gets
// no more heartbeats, so their absence proves nothing.
func TestStoppingBalancerSuspectsNoNode(t *testing.T) {
	for others := range 5 {
		n, b := newNode("balancer", model.RoleBalancer)
		members := []model.Member{agent(model.StateAlive, 1)}
		for i := range others {
			peer := model.NodeID("balancer-" + string(rune('a'+i)))
			members = append(members, model.Member{Node: peer, Role: model.RoleBalancer, Incarnation: 1, State: model.StateAlive})
		}
		receiveRecords(n, members...)
		n.Step(start, core.Tick{})
		n.Step(start, core.MessageReceived{From: "agent", Message: core.Heartbeat{Sequence: 1}})
		b.Self.Member.State, b.Self.Member.Revision = model.StateDraining, 1
		for at := time.Duration(0); at < 30*time.Second; at += core.TickInterval {
			n.Step(start.Add(at), core.Tick{})
			for _, m := range b.Members.Records {
				if m.State >= model.StateSuspect {
					t.Fatalf("with %d others, %v after it began to stop, %s is %v", others, at, m.Node, m.State)
				}
			}
		}
	}
}
