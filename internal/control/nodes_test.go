package control_test

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// testProcess runs a node over a hub on loopback, in real time.
type testProcess struct {
	mu   sync.Mutex
	node *core.Node
	hub  *control.Hub
	addr netip.AddrPort
	stop chan struct{}
	done sync.WaitGroup
}

func startProcess(t *testing.T, id model.NodeID, role model.Role, seed netip.AddrPort) *testProcess {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{addr: ln.Addr().(*net.TCPAddr).AddrPort(), stop: make(chan struct{})}
	self := model.Member{
		Node: id, Role: role, Incarnation: uint64(time.Now().UnixNano()), State: model.StateAlive, ControlAddr: p.addr,
	}
	p.node = core.NewNode(core.NewBoard(self), 1,
		lifecycle.New(lifecycle.Options{}), membership.New(membership.Options{}),
		configuration.New(configuration.Options{}),
		dissemination.New(dissemination.Options{Seeds: []netip.AddrPort{seed}}))
	p.hub = control.NewHub(control.Options{
		Self: func() model.Member { return self }, Cluster: "om-north", Secrets: [][]byte{[]byte("secret")},
		Service: func() model.ServiceName { return "" }, Logger: log.NewNopLogger(), Emit: p.step,
	})
	go func() { _ = p.hub.Serve(ln) }()
	p.done.Go(p.tick)
	t.Cleanup(p.close)
	return p
}

func (p *testProcess) tick() {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.step(core.Tick{})
		case <-p.stop:
			return
		}
	}
}

func (p *testProcess) close() {
	select {
	case <-p.stop:
		return
	default:
	}
	close(p.stop)
	p.done.Wait()
	_ = p.hub.Close()
}

func (p *testProcess) step(ev core.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, effect := range p.node.Step(time.Now(), ev) {
		switch e := effect.(type) {
		case core.Dial:
			p.hub.Dial(e.Addr)
		case core.CloseSession:
			p.hub.CloseSession(e.Peer, e.Reason)
		case core.SendMessage:
			p.hub.Send(e.To, e.Message)
		}
	}
}

// countAlive returns the number of members that are alive in the process's
// view.
func (p *testProcess) countAlive() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := 0
	for _, m := range p.node.Board().Members.Records {
		if m.State == model.StateAlive {
			alive++
		}
	}
	return alive
}

func (p *testProcess) hasLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Board().Lease.Valid(time.Now())
}

func TestNodesDiscoverEachOtherOverSessions(t *testing.T) {
	var processes []*testProcess
	for i := range 4 {
		role, id := model.RoleBalancer, model.NodeID(fmt.Sprintf("balancer-%d", i))
		if i == 3 {
			role, id = model.RoleAgent, "agent-0"
		}
		seed := netip.AddrPort{}
		if i > 0 {
			seed = processes[0].addr
		}
		processes = append(processes, startProcess(t, id, role, seed))
	}
	eventually(t, 10*time.Second, "every process sees all members, and the agent has a lease", func() bool {
		for _, p := range processes {
			if p.countAlive() != 4 {
				return false
			}
		}
		return processes[3].hasLease()
	})
	processes[0].close()
	eventually(t, 10*time.Second, "the closed balancer is no longer alive in the peer's view", func() bool { return processes[1].countAlive() == 3 })
	if !processes[3].hasLease() {
		t.Fatal("the agent lost its lease after one of three watchers stopped")
	}
}

func eventually(t *testing.T, timeout time.Duration, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", timeout, condition)
}
