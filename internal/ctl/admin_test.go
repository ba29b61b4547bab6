package ctl

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/admin"
	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// boardInspector gives access to a board that only the test uses.
type boardInspector struct{ board *core.Board }

func (i boardInspector) Inspect(f func(*core.Board)) bool {
	f(i.board)
	return true
}

// serveBoard serves a balancer's board with the admin server of the daemons.
func serveBoard(t *testing.T, config *model.Config) (*core.Board, netip.AddrPort) {
	board := core.NewBoard(model.Member{Node: "balancer-1", Role: model.RoleBalancer, State: model.StateAlive, Incarnation: 7, Domain: "om-north-a"})
	board.Config.Current = config
	addWatched := func(b *core.Board, s *adminapi.Status) {
		for node, session := range b.Peers.Sessions {
			m := b.Members.Records[node]
			s.Watched = append(s.Watched, adminapi.WatchedAgent{Node: node, Incarnation: m.Incarnation, ConfigVersion: session.ConfigVersion})
		}
	}
	server := httptest.NewServer(admin.Handler(admin.Node{Inspector: boardInspector{board}, Status: addWatched}))
	t.Cleanup(server.Close)
	return board, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestCommandsAgainstAdminServer runs the commands that query nodes against the
// admin server of the daemons.
func TestCommandsAgainstAdminServer(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.run(ExitOK, "apply "+file+" --wait 0s")
	board, address := serveBoard(t, h.store.config)
	t.Setenv("AMARANTH_BALANCERS", address.String())
	agent := model.Member{
		Node: "agent-1", Role: model.RoleAgent, State: model.StateAlive, Incarnation: 3, Domain: "om-north-b",
		Service: "lease-desk", Target: "lease-desk-1", Slots: 10,
	}
	board.Members.Records[agent.Node] = agent
	board.Peers.Sessions[agent.Node] = core.Session{Peer: agent.Node, Role: model.RoleAgent}
	view := core.View{Service: "lease-desk", Candidates: []core.Candidate{{Member: agent, Seed: 5, AcceptsNewFlows: true}}}
	board.Routes.Views[view.Service.ID()] = &view

	if out := h.run(ExitNotInForce, "apply "+file+" --wait 1s"); !strings.Contains(out, "agent agent-1 (alive): holds version 0") {
		t.Errorf("got %s", out)
	}
	session := board.Peers.Sessions[agent.Node]
	session.ConfigVersion = 1
	board.Peers.Sessions[agent.Node] = session
	h.run(ExitOK, "apply "+file+" --wait 5s")
	if out := h.run(ExitOK, "status"); !strings.Contains(out, "2 of 2 nodes hold it") {
		t.Errorf("got %s", out)
	}
	out := h.run(ExitOK, "explain lease-desk 127.0.3.7:5000")
	if !strings.Contains(out, "home agent-1") || !strings.Contains(out, "offered first to agent-1") {
		t.Errorf("got %s", out)
	}
	h.run(ExitBadInput, "explain rents 127.0.3.7:5000")
}
