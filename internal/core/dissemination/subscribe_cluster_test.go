package dissemination_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// An agent that admits requests with idempotency keys before it knows the
// service's other agents would query none of them.
func TestNewAgentKnowsServiceBeforeOthersKnowNewAgent(t *testing.T) {
	for seed := range uint64(10) {
		c := newDeployment(t, seed)
		service := c.nodes[agentID(0)].Board().Self.Member.Service
		joined := c.start(model.RoleAgent, "agent-new", domainOf(0))
		c.run(3 * time.Second)
		c.announce("agent-new", service)
		elapsed := c.await(time.Second, "another node knows the new agent's service", func() bool {
			return c.nodes[balancerID(0)].Board().Members.Records["agent-new"].Service == service
		})
		want := notGone(c.nodes[balancerID(0)].Board(), core.Subscriber{Role: model.RoleAgent, Service: service})
		records := joined.Board().Members.Records
		for id := range want {
			if _, ok := records[id]; !ok {
				t.Errorf("seed %d: after %v the new agent does not know %s", seed, elapsed, id)
			}
		}
	}
}
