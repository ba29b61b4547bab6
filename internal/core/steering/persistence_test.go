package steering_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Without load, an agent that balancers find in the list costs the store only lease
// renewals and saves.
func TestListedAgentDoesNotReadTheStore(t *testing.T) {
	w, _ := newSteadyWorld(t, 20, 3, 7, 0)
	before := make(map[*agentNode]int)
	for _, a := range w.agents {
		before[a] = a.verifications
	}
	w.run(20 * time.Second)
	for _, a := range w.agents {
		if a.verifications > before[a] {
			t.Errorf("agent %s checked its record %d times", a.name, a.verifications-before[a])
		}
	}
}

// A deleted record is rewritten before balancers remove the agent, which they do after
// 5 s without a reply, and before a starting balancer needs it.
func TestMissingRecordIsRewritten(t *testing.T) {
	for _, balancers := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			w, _ := newSteadyWorld(t, 21, balancers, 4, 0)
			w.run(6 * time.Second)
			clear(w.records)
			w.notifyStoreChange()
			w.run(4 * time.Second)
			if len(w.records) != 4 {
				t.Errorf("%d records of 4 were rewritten", len(w.records))
			}
		})
	}
}

// However many agents there are, all of them together save at most about eight times a
// second.
func TestSaveRateIsBoundedForAnyNumberOfAgents(t *testing.T) {
	const maxSavesPerSecond = 9 // of all agents: 8.3, and the first saves
	for _, agents := range []int{10, 50, 500, 5500} {
		w := newWorld(t, 22)
		a := w.addAgent("a")
		w.run(2 * time.Second)
		now, saves := w.now, 0
		ping := &steering.MessageReceived{From: a.addr, Message: steering.Message{Kind: steering.MessagePing, Agents: uint16(agents)}}
		const duration = time.Hour
		for ; now.Before(w.now.Add(duration)); now = now.Add(time.Second) {
			a.core.Step(now, ping)
			for _, e := range a.core.Step(now, &steering.Tick{}) {
				if e.Kind == steering.EffectSave {
					saves++
				}
			}
		}
		if got := float64(saves*agents) / duration.Seconds(); got > maxSavesPerSecond {
			t.Errorf("%d agents save %.1f times a second", agents, got)
		}
	}
}

// The views that operators get of a flow agree between its holder and its balancer.
func TestViewsOfBalancerAndAgentAgree(t *testing.T) {
	w, callers := newSteadyWorld(t, 23, 1, 3, 5)
	b := w.balancers[0].core
	for _, c := range callers {
		view := b.Explain(w.now, c.flow)
		if !view.Known || view.Holder == "" {
			t.Fatalf("the balancer knows %+v of flow %s", view, c.flow)
		}
		for _, a := range w.agents {
			if got := a.core.Explain(w.now, c.flow); got.Known != (a.name == view.Holder) {
				t.Errorf("agent %s knows %+v of flow %s, which %s holds", a.name, got, c.flow, view.Holder)
			}
		}
	}
	if v := b.View(w.now); v.Version != 1 || len(v.Peers) != 3 || v.Flows != 5 || !v.Peers[0].Listed || v.Peers[0].LastSeenMS < 0 {
		t.Errorf("the balancer's view is %+v", v)
	}
}
