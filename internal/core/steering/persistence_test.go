package steering_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Load: none. An agent that balancers know to be listed costs the store nothing
// but its renewals and saves.
func TestListedAgentDoesNotAskTheStore(t *testing.T) {
	w, _ := newSteadyWorld(t, 20, 3, 7, 0)
	before := make(map[*agentNode]int)
	for _, a := range w.agents {
		before[a] = a.verifications
	}
	w.run(20 * time.Second)
	for _, a := range w.agents {
		if a.verifications > before[a] {
			t.Errorf("agent %s looked %d times", a.name, a.verifications-before[a])
		}
	}
}

// A record that is taken away is back before balancers forget the agent, which
// they do after 5 s of silence, and before one that starts needs it.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	for _, balancers := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			w, _ := newSteadyWorld(t, 21, balancers, 4, 0)
			w.run(6 * time.Second)
			clear(w.records)
			w.notifyStoreChange()
			w.run(4 * time.Second)
			if len(w.records) != 4 {
				t.Errorf("%d records of 4 are back", len(w.records))
			}
		})
	}
}

// Load: a fleet that grows. All agents together save no more than about eight
// times a second.
func TestSavesDoNotGrowWithTheFleet(t *testing.T) {
	const limit = 9 // saves a second of all agents, 8.3 and the first ones
	for _, agents := range []int{10, 50, 500, 5500} {
		w := newWorld(t, 22)
		a := w.addAgent("a")
		w.run(2 * time.Second)
		now, saves := w.now, 0
		ping := &steering.MessageReceived{From: a.addr, Message: steering.Message{Kind: steering.MessagePing, Agents: uint16(agents)}}
		const span = time.Hour
		for ; now.Before(w.now.Add(span)); now = now.Add(time.Second) {
			a.core.Step(now, ping)
			for _, e := range a.core.Step(now, &steering.Tick{}) {
				if e.Kind == steering.EffectSave {
					saves++
				}
			}
		}
		if got := float64(saves*agents) / span.Seconds(); got > limit {
			t.Errorf("%d agents save %.1f times a second", agents, got)
		}
	}
}

// Operators see the same flow at its holder and at the balancer that carries it.
func TestViewsAgreeOnAFlow(t *testing.T) {
	w, callers := newSteadyWorld(t, 23, 1, 3, 5)
	b := w.balancers[0].core
	for _, c := range callers {
		at := b.Explain(w.now, c.flow)
		if !at.Known || at.Holder == "" {
			t.Fatalf("the balancer knows %+v of flow %s", at, c.flow)
		}
		for _, a := range w.agents {
			if got := a.core.Explain(w.now, c.flow); got.Known != (a.name == at.Holder) {
				t.Errorf("agent %s knows %+v of flow %s, which %s holds", a.name, got, c.flow, at.Holder)
			}
		}
	}
	if v := b.View(w.now); v.Version != 1 || len(v.Peers) != 3 || v.Flows != 5 || !v.Peers[0].Listed || v.Peers[0].LastSeenMS < 0 {
		t.Errorf("the balancer believes %+v", v)
	}
}
