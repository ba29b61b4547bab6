package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

const (
	tick = steering.TickInterval
	// afterTick is the time of an event between two ticks: a ping sent then is due at the
	// next tick.
	afterTick = 5 * time.Millisecond
)

// freeStatus is the status of a target that has room for all openings of a test.
func freeStatus() steering.Status {
	s := slotStatus(0, 30*time.Millisecond)
	s.Slots, s.Concurrency = 5000, 5000
	return s
}

// silenceTest is a balancer whose agents have room, one of which is offered an opening.
type silenceTest struct {
	*objectiveBalancer
	t *testing.T
}

// newSilenceTest returns a balancer with an agent in each of the domains. All have just
// reported.
func newSilenceTest(t *testing.T, domains ...string) *silenceTest {
	t.Helper()
	b := &silenceTest{newObjectiveBalancer(domains...), t}
	b.step(&steering.Tick{})
	b.reportAllBut(-1)
	b.now = b.now.Add(afterTick)
	return b
}

// reportAllBut makes all agents report that they have room, except one.
func (b *silenceTest) reportAllBut(agent int) {
	for i := range b.peers {
		if i != agent {
			b.report(i, freeStatus())
		}
	}
}

// advance advances the time by a number of ticks.
func (b *silenceTest) advance(d time.Duration) {
	for range d / tick {
		b.now = b.now.Add(tick - afterTick)
		b.step(&steering.Tick{})
		b.now = b.now.Add(afterTick)
	}
}

// openAndRepeat opens a flow whose caller repeats the opening after 200 ms. It returns the
// caller's port and the agent that was offered both copies.
func (b *silenceTest) openAndRepeat(address steering.Endpoint) (port uint16, agent int) {
	b.t.Helper()
	b.takeOffers()
	port = b.open(address)
	b.advance(200 * time.Millisecond)
	b.sendCopy(port, address, 1)
	offers := b.takeOffers()
	if len(offers) != 2 || offers[0].agent != offers[1].agent {
		b.t.Fatalf("offers of both copies: %+v, want both at one agent", offers)
	}
	return port, offers[0].agent
}

// sendData delivers a caller's segment from the middle of a flow.
func (b *silenceTest) sendData(port uint16, address steering.Endpoint) {
	b.step(&steering.SegmentReceived{Segment: b.dataSegment(port, address)})
}

func (b *silenceTest) dataSegment(port uint16, address steering.Endpoint) steering.Segment {
	return steering.Segment{
		Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Address: address},
		Flags: steering.FlagAck, Seq: 1, Ack: 1000, Len: 100,
	}
}

// requireMoved checks the number of openings that went to another agent.
func (b *silenceTest) requireMoved(want int) {
	b.t.Helper()
	if got := b.Counters.OpeningsMoved.Load(); got != uint64(want) {
		b.t.Errorf("%d openings moved, want %d", got, want)
	}
}

// An agent is lost. Its openings waited for 600 ms, the third copy, so that posts with an
// objective of 300 ms were late (69 of 1,233 with a third of the targets lost), and it got
// new flows for 1.2 s.
func TestOpeningOfASilentAgentMovesWithin300Milliseconds(t *testing.T) {
	b := newSilenceTest(t, "a", "a", "a")
	raw := []byte{1, 2, 3}
	port := b.open(postAddress)
	lost := b.takeOffers()[0].agent
	b.advance(200 * time.Millisecond)
	before := b.pings[lost]
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Address: postAddress}
	b.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagOpen, Ack: 1, Raw: raw}})
	if offers := b.takeOffers(); len(offers) != 1 || offers[0].agent != lost {
		t.Errorf("the copy is offered as %+v, want once to agent %d", offers, lost)
	}
	if got := b.pings[lost] - before; got != 1 {
		t.Errorf("%d pings to the agent at the copy, want 1", got)
	}
	raw[0] = 9 // the buffer is used again for the next segment
	b.reportAllBut(lost)
	b.advance(tick)
	offers := b.takeOffers()
	if len(offers) != 1 || offers[0].agent == lost {
		t.Fatalf("offers 255 ms after the first copy: %+v, want one to another agent", offers)
	}
	if s := offers[0].Segment; s.Ack != 1 || len(s.Raw) != 3 || s.Raw[0] != 1 {
		t.Errorf("the offered segment is %+v, want the copy as it was received", s)
	}
	b.requireMoved(1)
	for range 50 {
		b.open(postAddress)
	}
	if got := countByAgent(b.takeOffers(), 3); got[lost] != 0 {
		t.Errorf("offers by agent are %v, want none to agent %d", got, lost)
	}
	reported := 0
	for _, r := range b.reports {
		if r.Text == "Agent does not reply and gets no new flows." {
			reported++
			if r.Node != b.peers[lost].String() || r.Count != 1 || r.Flow != flow || r.Age < 200*time.Millisecond {
				t.Errorf("report %+v lacks an input of the decision", r)
			}
		}
	}
	if reported != 1 {
		t.Errorf("%d reports of the agent, want 1", reported)
	}
}

// After the first opening has shown that an agent is lost, each of the others waited again
// for an unanswered ping.
func TestCopyForASuspectAgentMovesAtOnce(t *testing.T) {
	b := newSilenceTest(t, "a", "a", "a")
	_, lost := b.openAndRepeat(postAddress)
	b.reportAllBut(lost)
	var waits uint16
	for waits == 0 {
		if port := b.open(postAddress); b.takeOffers()[0].agent == lost {
			waits = port
		}
	}
	b.advance(tick)
	b.requireMoved(1)
	b.takeOffers()
	b.sendCopy(waits, postAddress, 1)
	if o := b.takeOffers(); len(o) != 1 || o[0].agent == lost {
		t.Errorf("the copy is offered as %+v, want once to another agent than %d", o, lost)
	}
	b.requireMoved(2)
}

// Two agents are lost. An opening that moved from one to the other after its last copy waited
// there until its caller gave up (15 of 1,250 posts with a third of the targets lost).
func TestMovedOpeningMovesAgainFromAnotherLostAgent(t *testing.T) {
	b := newSilenceTest(t, "a", "a", "a", "a", "a")
	port := b.open(postAddress)
	first := b.takeOffers()[0].agent
	b.advance(600 * time.Millisecond)
	b.sendCopy(port, postAddress, 2)
	b.takeOffers()
	b.advance(tick)
	second := b.takeOffers()[0].agent
	for i := range b.peers {
		if i != first && i != second {
			b.report(i, freeStatus())
		}
	}
	b.advance(tick)
	if o := b.takeOffers(); len(o) != 1 || o[0].agent == first || o[0].agent == second {
		t.Errorf("offers %+v, want one to another agent than %d and %d", o, first, second)
	}
	b.requireMoved(2)
}

// An agent whose host gets little processor time replies 80 ms late. It was avoided for long.
func TestSuspectAgentIsUsedAgainOnceItReplies(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	_, slow := b.openAndRepeat(postAddress)
	b.reportAllBut(slow)
	b.advance(tick)
	b.requireMoved(1)
	b.report(slow, freeStatus())
	b.takeOffers()
	for range 50 {
		b.open(postAddress)
	}
	if got := countByAgent(b.takeOffers(), 2); got[slow] == 0 {
		t.Errorf("offers by agent are %v, want some to agent %d", got, slow)
	}
}

// A suspect agent that replies to the next ping only was avoided for 0.5 s, the interval of
// regular pings.
func TestSuspectAgentIsPingedOften(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	_, slow := b.openAndRepeat(postAddress)
	b.reportAllBut(slow)
	b.advance(tick)
	b.reportAllBut(slow)
	before := b.pings[slow]
	b.advance(300 * time.Millisecond)
	if got := b.pings[slow] - before; got < 2 || got > 3 {
		t.Errorf("%d pings in 300 ms, want one each 100 ms", got)
	}
}

// A target is slow to answer openings while its agent replies: a second target would lose
// capacity to the same opening.
func TestAnsweredPingDoesNotMoveOpenings(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	_, agent := b.openAndRepeat(postAddress)
	b.report(agent, freeStatus())
	b.advance(200 * time.Millisecond)
	b.requireMoved(0)
}

// Datagrams are lost occasionally. One lost ping must not move the openings of a healthy
// agent that is heard otherwise.
func TestLostPingDoesNotMoveOpeningsOfAnAgentThatIsHeard(t *testing.T) {
	for name, evidence := range map[string]func(b *silenceTest, agent int, other uint16){
		"refusal of another flow": func(b *silenceTest, agent int, other uint16) {
			b.refuse(offeredOpening{agent, steering.Message{Segment: steering.Segment{Flow: b.dataSegment(other, postAddress).Flow, Flags: steering.FlagOpen}}}, steering.RefusedBusy)
		},
		"flow offered later is open": func(b *silenceTest, _ int, other uint16) { b.sendData(other, postAddress) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newSilenceTest(t, "a", "a")
			port := b.open(postAddress)
			agent := b.takeOffers()[0].agent
			b.advance(tick)
			var other uint16
			for other == 0 {
				if p := b.open(postAddress); b.takeOffers()[0].agent == agent {
					other = p
				}
			}
			b.advance(150 * time.Millisecond)
			b.sendCopy(port, postAddress, 1)
			evidence(b, agent, other)
			b.advance(100 * time.Millisecond)
			b.requireMoved(0)
		})
	}
}

// A caller that gives up an opening closes its flow. That does not show that the agent lives.
func TestCallerThatGivesUpIsNoSignOfItsAgent(t *testing.T) {
	for _, flags := range []steering.Flags{steering.FlagReset, steering.FlagReset | steering.FlagAck, steering.FlagClose} {
		b := newSilenceTest(t, "a", "a")
		port := b.open(postAddress)
		agent := b.takeOffers()[0].agent
		b.now = b.now.Add(time.Millisecond)
		var other uint16
		for other == 0 {
			if p := b.open(postAddress); b.takeOffers()[0].agent == agent {
				other = p
			}
		}
		b.advance(200 * time.Millisecond)
		b.sendCopy(port, postAddress, 1)
		s := b.dataSegment(other, postAddress)
		s.Flags, s.Len = flags, 0
		b.step(&steering.SegmentReceived{Segment: s})
		b.advance(tick)
		b.requireMoved(1)
	}
}

// A copy is lost. The opening must move by the next one.
func TestOpeningMovesByTheNextCopyIfOneIsLost(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	port := b.open(postAddress)
	lost := b.takeOffers()[0].agent
	b.advance(600 * time.Millisecond)
	b.sendCopy(port, postAddress, 2)
	b.reportAllBut(lost)
	b.advance(tick)
	if o := b.takeOffers(); len(o) == 0 || o[len(o)-1].agent == lost {
		t.Errorf("offers %+v, want the last one to another agent than %d", o, lost)
	}
	b.requireMoved(1)
}

// A first copy that arrives after a later one started the flow anew: the opening that had
// moved could be reset while the first agent's target held the flow.
func TestDelayedFirstCopyDoesNotRestartAMovedOpening(t *testing.T) {
	b := newSilenceTest(t, "a", "a", "a")
	port, lost := b.openAndRepeat(postAddress)
	b.reportAllBut(lost)
	b.advance(tick)
	second := b.takeOffers()[0].agent
	b.sendCopy(port, postAddress, 0)
	if o := b.takeOffers(); len(o) != 1 || o[0].agent != second {
		t.Errorf("the first copy is offered as %+v, want once to agent %d", o, second)
	}
	b.sendData(port, postAddress)
	b.miss(second, port)
	if len(b.probed) != 1 || b.probed[0] != lost {
		t.Errorf("agents %v are probed, want %d, which may hold the flow", b.probed, lost)
	}
}

// miss makes an agent return a segment of a flow that it does not hold.
func (b *silenceTest) miss(agent int, port uint16) {
	b.step(&steering.MessageReceived{From: b.peers[agent], Message: steering.Message{
		Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: b.dataSegment(port, postAddress),
	}})
}

// The caller opens its flow at the first agent after the opening went to a second one. The
// flow's next segment must find it there by one probe, whatever the agent's rank for the flow.
func TestFlowOpenedAtTheFirstAgentIsFound(t *testing.T) {
	for first := range 6 {
		b := newSilenceTest(t, "a", "a", "a", "a", "a", "a")
		for i := range b.peers {
			if i != first {
				b.report(i, slotStatus(100, time.Second))
			}
		}
		port, _ := b.openAndRepeat(postAddress)
		b.reportAllBut(first)
		b.advance(tick)
		second := b.takeOffers()[0].agent
		b.report(first, freeStatus())
		b.sendData(port, postAddress)
		b.miss(second, port)
		if len(b.probed) != 1 || b.probed[0] != first {
			t.Fatalf("agents %v are probed, want %d", b.probed, first)
		}
		flow := b.dataSegment(port, postAddress).Flow
		b.step(&steering.MessageReceived{From: b.peers[first], Message: steering.Message{Kind: steering.MessageHeld, Flow: flow}})
		if got := b.Counters.Searched.Load(); got != 0 || len(b.resets) != 0 {
			t.Errorf("%d searches and resets %v, want none", got, b.resets)
		}
	}
}

// A moved opening finds no other agent and waits until the queue timeout. It must not be
// reset then: the first agent's target may hold the flow.
func TestMovedOpeningIsNotReset(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	port, lost := b.openAndRepeat(postAddress)
	full := 1 - lost
	b.report(full, slotStatus(100, time.Second))
	b.advance(tick)
	b.requireMoved(1)
	if b.Counters.Queued.Load() != 1 {
		t.Error("the opening is not queued")
	}
	other := b.open(postAddress) // not offered to any agent
	for elapsed := tick; elapsed < 1500*time.Millisecond; elapsed += tick {
		switch elapsed {
		case 200 * time.Millisecond:
			b.sendCopy(other, postAddress, 1)
		case 400 * time.Millisecond:
			b.sendCopy(port, postAddress, 2)
		case 600 * time.Millisecond:
			b.sendCopy(other, postAddress, 2)
		}
		b.report(full, slotStatus(100, time.Second))
		b.advance(tick)
	}
	if _, reset := b.resets[port]; reset {
		t.Error("an opening that a target may have accepted is reset")
	}
	if _, reset := b.resets[other]; !reset {
		t.Error("the opening that was not offered is not reset: the test does not reach the timeout")
	}
}

// An agent's process is new: it replies at once and knows nothing of the opening. The copy
// must reach it, and another agent if it refuses.
func TestRestartedAgentDecidesAboutTheCopy(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	port, agent := b.openAndRepeat(postAddress)
	b.report(agent, freeStatus())
	copied := b.dataSegment(port, postAddress)
	copied.Flags, copied.Seq, copied.Ack, copied.Len = steering.FlagOpen, 0, 1, 0
	b.refuse(offeredOpening{agent, steering.Message{Segment: copied}}, steering.RefusedNoTarget)
	if o := b.takeOffers(); len(o) != 1 || o[0].agent == agent {
		t.Errorf("offers after the refusal: %+v, want one to another agent", o)
	}
	b.advance(100 * time.Millisecond)
	b.requireMoved(0)
}

// Most agents of a service are silent at once: this balancer is cut off or starved. Moving
// their openings would place them twice without use.
func TestNothingMovesWhenMostAgentsAreSilent(t *testing.T) {
	const agents = 4
	b := newSilenceTest(t, "a", "a", "a", "a")
	ports := make(map[int]uint16)
	for len(ports) < agents-1 {
		port := b.open(postAddress)
		if o := b.takeOffers(); ports[o[0].agent] == 0 {
			ports[o[0].agent] = port
		}
	}
	b.advance(200 * time.Millisecond)
	for _, port := range ports {
		b.sendCopy(port, postAddress, 1)
	}
	b.takeOffers()
	b.advance(200 * time.Millisecond)
	b.requireMoved(0)
	for range 50 {
		b.open(postAddress)
	}
	for agent, n := range countByAgent(b.takeOffers(), agents) {
		if n == 0 {
			t.Errorf("agent %d gets no new flows", agent)
		}
	}
}

// A balancer that is frozen after a ping finds the reply in its socket after the next tick.
// It must not take the agent for silent.
func TestFrozenBalancerDoesNotSuspectAgents(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	_, agent := b.openAndRepeat(postAddress)
	b.now = b.now.Add(300 * time.Millisecond)
	b.step(&steering.Tick{})
	b.now = b.now.Add(afterTick)
	b.step(&steering.Tick{}) // the one that was due meanwhile
	b.requireMoved(0)
	b.report(agent, freeStatus())
	b.advance(100 * time.Millisecond)
	b.requireMoved(0)
}

// A reply from another failure domain takes longer than one from the own one.
func TestAgentsOfOtherDomainsHaveMoreTimeToReply(t *testing.T) {
	b := newSilenceTest(t, "b", "b")
	b.openAndRepeat(postAddress)
	b.advance(tick) // the ping is 45 ms old
	b.requireMoved(0)
	b.advance(tick)
	b.requireMoved(1)
}

// Routes without an objective are served as before.
func TestOpeningsWithoutObjectiveCauseNoPings(t *testing.T) {
	b := newSilenceTest(t, "a", "a")
	port := b.open(plainAddress)
	agent := b.takeOffers()[0].agent
	b.advance(200 * time.Millisecond)
	before := b.pings[agent]
	b.sendCopy(port, plainAddress, 1)
	b.advance(100 * time.Millisecond)
	if got := b.pings[agent] - before; got != 0 {
		t.Errorf("%d pings, want none before the regular one", got)
	}
	b.requireMoved(0)
}

// Thousands of openings wait for one agent. Kept copies and pings must be bounded.
func TestKeptCopiesAndPingsAreBounded(t *testing.T) {
	const openings, maxKept = 3000, 1000
	b := newSilenceTest(t, "a", "a")
	var ports []uint16
	lost := -1
	for range openings {
		port := b.open(postAddress)
		if o := b.takeOffers(); lost < 0 || o[0].agent == lost {
			lost = o[0].agent
			ports = append(ports, port)
		}
	}
	b.advance(200 * time.Millisecond)
	before := b.pings[lost]
	for _, port := range ports {
		b.sendCopy(port, postAddress, 1)
	}
	if got := b.pings[lost] - before; got != 1 {
		t.Errorf("%d pings for %d copies, want 1", got, len(ports))
	}
	b.reportAllBut(lost)
	b.advance(tick)
	if got := b.Counters.OpeningsMoved.Load(); got == 0 || got > maxKept || len(ports) <= maxKept {
		t.Errorf("%d of %d openings moved, want at most %d", got, len(ports), maxKept)
	}
}

// Datagrams between nodes are lost now and then while all agents live. Few openings may move,
// and all requests must be answered in time.
func TestLostDatagramsMoveFewOpenings(t *testing.T) {
	const lossRate, maxMovedShare = 0.02, 0.002
	feed, post := newFeed(constantRate(usualFeedRate)), newPost(constantRate(usualPostRate))
	l := newLoadWorld(newWorld(t, 12), loadAgents, loadBalancers, feed, post)
	l.w.lossRate = lossRate
	l.run(8 * time.Second)
	moved := uint64(0)
	for _, b := range l.w.balancers {
		moved += b.core.Counters.OpeningsMoved.Load()
	}
	t.Logf("%d of %d openings moved", moved, l.attempts)
	if float64(moved) > maxMovedShare*float64(feed.asked+post.asked) {
		t.Errorf("%d of %d openings moved", moved, feed.asked+post.asked)
	}
	l.requireInTime(post, 0.99)
}
