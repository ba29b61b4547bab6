package lifecycle_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

var start = time.Unix(1_800_000_000, 0)

// newAgent returns an agent in failure domain "a" whose configuration declares
// the service "drawings" there, with at most 5 slots and 100 connections.
func newAgent(objects ...model.Object) (*core.Node, *core.Board) {
	b := core.NewBoard(model.Member{
		Node: "agent-1", Role: model.RoleAgent, Incarnation: 7, State: model.StateAlive, Domain: "a",
	})
	service := &model.Service{
		Name: "drawings", Domains: []model.DomainName{"a"}, Targets: []string{"draw-*"}, MaxSlots: 5, MaxConnections: 100,
	}
	objects = append(objects, model.Object{Key: model.ObjectKey{Kind: model.KindService, Name: "drawings"}, Version: 1, Service: service})
	b.Config.Current.Merge(1, objects)
	b.Config.Generation = 1
	return core.NewNode(b, 1, lifecycle.New(lifecycle.Options{})), b
}

func announcement() core.Announcement {
	return core.Announcement{
		Target: "draw-1", Service: "drawings", Address: netip.MustParseAddrPort("127.0.0.1:80"), Slots: 10, Connections: 50,
	}
}

func TestAcceptedAnnouncementIsLimitedByTheService(t *testing.T) {
	n, b := newAgent()
	n.Step(start, core.TargetAnnounced{Announcement: announcement()})
	m := b.Self.Member
	if m.Service != "drawings" || m.Slots != 5 || m.Connections != 50 || m.Revision != 1 {
		t.Fatalf("record is %+v", m)
	}
	if !b.Self.AcceptsNewWork() || b.Self.Subscription != "drawings" {
		t.Fatalf("self is %+v", b.Self)
	}
	n.Step(start, core.TargetAnnounced{Announcement: announcement()})
	if got := b.Self.Member.Revision; got != 1 {
		t.Fatalf("an unchanged announcement raised the revision to %d", got)
	}
}

func TestInvalidAnnouncementIsRefusedWithAllFindings(t *testing.T) {
	tests := map[string]struct {
		change func(*core.Announcement)
		want   []string
	}{
		"negative slots":  {func(a *core.Announcement) { a.Slots = -1 }, []string{"slots: slots are -1"}},
		"unknown service": {func(a *core.Announcement) { a.Service = "lost" }, []string{`service: service "lost" does not exist`}},
		"foreign target":  {func(a *core.Announcement) { a.Target = "lease-1" }, []string{`target: service "drawings" may not use target "lease-1"`}},
		"several":         {func(a *core.Announcement) { a.Target, a.Connections = "", 0 }, []string{"target: ", "connections: "}},
		"no address":      {func(a *core.Announcement) { a.Address = netip.AddrPort{} }, []string{"address: "}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, b := newAgent()
			a := announcement()
			tt.change(&a)
			checked := requireChecked(t, n.Step(start, core.TargetAnnounced{Announcement: a}))
			var text strings.Builder
			for _, f := range checked.Findings {
				text.WriteString(f.String() + "\n")
			}
			for _, want := range tt.want {
				if !strings.Contains(text.String(), want) {
					t.Errorf("findings lack %q:\n%s", want, text.String())
				}
			}
			if b.Self.TargetAccepted || b.Self.Member.Service != "" || b.Self.Member.Revision != 0 {
				t.Errorf("refused announcement changed the record: %+v", b.Self)
			}
		})
	}
}

func requireChecked(t *testing.T, effects []core.Effect) core.AnnouncementChecked {
	t.Helper()
	for _, e := range effects {
		if checked, ok := e.(core.AnnouncementChecked); ok {
			return checked
		}
	}
	t.Fatal("no AnnouncementChecked among the effects")
	return core.AnnouncementChecked{}
}

func TestConfigurationOverridesTheTarget(t *testing.T) {
	n, b := newAgent()
	n.Step(start, core.TargetAnnounced{Announcement: announcement()})
	set := func(version uint64, o model.Object) {
		o.Version = version
		b.Config.Current.Merge(version, []model.Object{o})
		b.Config.Generation++
		n.Step(start, core.Tick{})
	}
	targetState := func(drain bool) model.Object {
		return model.Object{Key: model.ObjectKey{Kind: model.KindTargetState, Name: "draw-1"},
			TargetState: &model.TargetState{Name: "draw-1", Drain: drain}}
	}
	set(2, targetState(true))
	if b.Self.Member.State != model.StateDraining || b.Self.Member.Revision != 2 {
		t.Fatalf("drained target: %+v", b.Self.Member)
	}
	set(3, targetState(false))
	set(4, model.Object{Key: model.ObjectKey{Kind: model.KindDomainState, Name: "a"},
		DomainState: &model.DomainState{Name: "a", Out: true}})
	if b.Self.Member.State != model.StateAlive || !b.Self.DomainOut || b.Self.AcceptsNewWork() {
		t.Fatalf("domain out: %+v", b.Self)
	}
	set(5, model.Object{Key: model.ObjectKey{Kind: model.KindService, Name: "drawings"}})
	if b.Self.TargetAccepted || b.Self.Member.Service != "" {
		t.Fatalf("service removed: %+v", b.Self)
	}
}

func TestPlannedStopWaitsForWorkUpToDrainTimeout(t *testing.T) {
	tests := map[string]struct {
		work  func(*core.Board, int)
		ticks int
	}{
		"flows close":  {func(b *core.Board, tick int) { b.Flows.Local = max(0, 3-tick) }, 3},
		"requests end": {func(b *core.Board, tick int) { b.Load.InFlight = max(0, 5-tick) }, 5},
		"timeout":      {func(b *core.Board, tick int) { b.Flows.Local = 1 }, 600},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, b := newAgent()
			tt.work(b, 0)
			n.Step(start, core.StopRequested{})
			if b.Self.Member.State != model.StateDraining || b.Self.AcceptsNewWork() {
				t.Fatalf("stopping agent: %+v", b.Self)
			}
			left := 0
			for tick := 1; left == 0 && tick < 1000; tick++ {
				tt.work(b, tick)
				n.Step(start.Add(time.Duration(tick)*time.Second), core.Tick{})
				if b.Self.Member.State == model.StateLeft {
					left = tick
				}
			}
			if left != tt.ticks {
				t.Fatalf("left after %d s, want %d s", left, tt.ticks)
			}
		})
	}
}

func TestSupersedingRecordsAreRefuted(t *testing.T) {
	tests := map[string]struct {
		received    model.Member
		incarnation uint64
		revision    uint64
	}{
		"suspect":                   {model.Member{Incarnation: 7, State: model.StateSuspect}, 7, 1},
		"dead at a higher revision": {model.Member{Incarnation: 7, Revision: 9, State: model.StateDead}, 7, 10},
		"older incarnation":         {model.Member{Incarnation: 6, Revision: 9, State: model.StateDead}, 7, 0},
		"newer incarnation":         {model.Member{Incarnation: 8, State: model.StateDead}, 9, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, b := newAgent()
			tt.received.Node, tt.received.Role = "agent-1", model.RoleAgent
			n.Step(start, core.MessageReceived{From: "b", Message: core.Delta{Members: []model.Member{tt.received}}})
			m := b.Self.Member
			if m.Incarnation != tt.incarnation || m.Revision != tt.revision || m.State != model.StateAlive {
				t.Fatalf("record is %+v", m)
			}
		})
	}
}

func TestWithdrawnTargetStaysUntilItsFlowsClose(t *testing.T) {
	node, b := newAgent()
	node.Step(start, core.TargetAnnounced{Announcement: announcement()})
	b.Flows.Local = 1
	node.Step(start, core.TargetWithdrawn{})
	if m := b.Self.Member; b.Self.TargetAccepted || m.Service != "drawings" || m.State != model.StateDraining {
		t.Errorf("accepted %t, record %+v, want a draining record of the service while a flow is open", b.Self.TargetAccepted, m)
	}
	b.Flows.Local = 0
	node.Step(start.Add(time.Second), core.Tick{})
	if m := b.Self.Member; m.Service != "" || m.State != model.StateAlive {
		t.Errorf("record %+v, want no service after the last flow", m)
	}
}
