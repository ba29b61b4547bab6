package direct

import (
	"context"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform"
)

// oddEntries are values that another writer may leave under an agent's key.
var oddEntries = map[string]string{
	"nested":       strings.Repeat(`{"node":`, 200_000),
	"nested-list":  strings.Repeat("[", 200_000),
	"large-number": `{"node":"large-number","peer":"10.0.0.9:7000","lifetime":99999999999999999999999}`,
	"exponent":     `{"node":"exponent","peer":"10.0.0.9:7000","lifetime":1e999}`,
	"port":         `{"node":"port","peer":"10.0.0.9:70000"}`,
	"port-zero":    `{"node":"port-zero","peer":"10.0.0.9:0"}`,
	"negative":     `{"node":"negative","peer":"10.0.0.9:-1"}`,
	"ipv6":         `{"node":"ipv6","peer":"[2001:db8::1]:7000"}`,
	"multicast":    `{"node":"multicast","peer":"224.0.0.1:7000"}`,
	"types":        `{"node":7,"peer":{"ip":"10.0.0.9"},"domain":[]}`,
	"null":         `null`,
	"empty":        ``,
	"bytes":        "\x00\xff\xfe{",
	// The key is that of another agent than the value names.
	"other-node": `{"node":"a","peer":"10.0.0.9:7000","service":"s","domain":"d"}`,
	// An agent writes its record under a lease; this one has none.
	"no-lease": `{"node":"no-lease","peer":"10.0.0.9:7000","service":"s","domain":"d"}`,
	"long":     `{"node":"long","peer":"` + strings.Repeat("9", 500_000) + `"}`,
}

// listedNodes returns the agents that a balancer lists.
func (b *Balancer) listedNodes() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var nodes []string
	for _, p := range b.steering.View(time.Now()).Peers {
		nodes = append(nodes, p.Node+" "+p.Address.String())
	}
	return nodes
}

// Another writer leaves odd entries among the agents' records. A balancer must use the
// others and go on following the store.
func TestOddEntriesAmongAgentRecordsAreSkipped(t *testing.T) {
	s := serveStore(t)
	s.Configure(1, "s")
	a := newRestoredAgent(s)
	a.key = "op-agents/" + exampleRecord.Node
	for name, value := range oddEntries {
		s.Write("op-agents/"+name, []byte(value))
	}
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	a.register(context.Background())
	for name, value := range oddEntries { // as events of the watch, too
		s.Write("op-agents/"+name, []byte(value+" "))
	}
	s.Configure(2, "s")
	eventually(t, "version 2 is in force", func() bool { return b.version() == 2 })
	want := exampleRecord.Node + " " + exampleRecord.Peer.String()
	eventually(t, "the agent is listed", func() bool { return len(b.listedNodes()) > 0 })
	if got := b.listedNodes(); len(got) != 1 || got[0] != want {
		t.Errorf("listed are %q, want %q", got, want)
	}
}

// Odd entries in place of what the agent's earlier process left must not end the agent or
// prove anything.
func TestOddEntriesOfAnAgentsOwnAreIgnored(t *testing.T) {
	for name, value := range oddEntries {
		s := serveStore(t)
		s.Write("served/a", []byte(value))
		s.Write("saved-flows/a", []byte(value))
		a := newRestoredAgent(s)
		a.readPrevious(context.Background())
		previous, ok := a.events[len(a.events)-1].(*steering.PreviousRecord)
		if !ok || !previous.Found || !previous.Incomplete {
			t.Errorf("%s: the agent gets %+v", name, a.events[len(a.events)-1])
		}
	}
}
