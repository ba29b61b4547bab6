package configuration_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

var start = time.Unix(1_800_000_000, 0)

func newNode(role model.Role) (*core.Node, *core.Board) {
	b := core.NewBoard(model.Member{Node: "n", Role: role, State: model.StateAlive})
	return core.NewNode(b, 1, configuration.New(configuration.Options{})), b
}

func domain(name string, version uint64) model.Object {
	return model.Object{
		Key: model.ObjectKey{Kind: model.KindDomain, Name: name}, Version: version,
		Domain: &model.Domain{Name: model.DomainName(name)},
	}
}

func receive(n *core.Node, d core.Delta) []core.Effect {
	return n.Step(start, core.MessageReceived{From: "p", Message: d})
}

func TestDeltaWithAGapStoresObjectsAndPulls(t *testing.T) {
	n, b := newNode(model.RoleBalancer)
	receive(n, core.Delta{Since: 0, ConfigVersion: 3, Objects: []model.Object{domain("a", 3)}})
	effects := receive(n, core.Delta{Since: 5, ConfigVersion: 6, Objects: []model.Object{domain("b", 6)}})
	if b.Config.Current.Version != 3 || len(b.Config.Current.Objects) != 2 {
		t.Fatalf("version is %d with %d objects", b.Config.Current.Version, len(b.Config.Current.Objects))
	}
	if len(effects) != 1 || effects[0] != (core.SendMessage{To: "p", Message: core.Pull{Since: 3}}) {
		t.Fatalf("effects are %+v", effects)
	}
}

func TestOlderObjectsAndVersionsChangeNothing(t *testing.T) {
	n, b := newNode(model.RoleBalancer)
	receive(n, core.Delta{ConfigVersion: 9, Objects: []model.Object{domain("a", 9)}})
	generation := b.Config.Generation
	receive(n, core.Delta{ConfigVersion: 4, Objects: []model.Object{domain("a", 4)}})
	n.Step(start, core.StoreLoaded{Version: 5, Objects: []model.Object{domain("a", 5)}})
	key := model.ObjectKey{Kind: model.KindDomain, Name: "a"}
	if b.Config.Generation != generation {
		t.Fatalf("older objects raised the generation by %d", b.Config.Generation-generation)
	}
	receive(n, core.Delta{ConfigVersion: 4, Objects: []model.Object{domain("a", 4), domain("b", 3)}})
	if b.Config.Current.Version != 9 || len(b.Config.Current.Objects) != 2 || b.Config.Current.Objects[key].Version != 9 {
		t.Fatalf("configuration is %+v", b.Config.Current)
	}
}

func TestVersionRisesOnlyWithAllParts(t *testing.T) {
	part := func(i uint32, name string) core.Delta {
		return core.Delta{Part: i, Parts: 3, ConfigVersion: 3, Objects: []model.Object{domain(name, uint64(i))}}
	}
	tests := map[string]struct {
		deltas  []core.Delta
		version uint64
	}{
		"all in order": {[]core.Delta{part(1, "a"), part(2, "b"), part(3, "c")}, 3},
		"middle lost":  {[]core.Delta{part(1, "a"), part(3, "c")}, 0},
		"first lost":   {[]core.Delta{part(2, "b"), part(3, "c")}, 0},
		"restarted":    {[]core.Delta{part(1, "a"), part(2, "b"), part(1, "a"), part(3, "c")}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, b := newNode(model.RoleBalancer)
			for _, d := range tt.deltas {
				receive(n, d)
			}
			if got := b.Config.Current.Version; got != tt.version {
				t.Fatalf("version is %d, want %d", got, tt.version)
			}
		})
	}
}

func TestNewSubscriptionIsCompleteOnlyOnceLoaded(t *testing.T) {
	n, b := newNode(model.RoleAgent)
	receive(n, core.Delta{ConfigVersion: 5, Objects: []model.Object{domain("a", 5)}})
	b.Self.Subscription = "drawings"
	receive(n, core.Delta{Since: 5, ConfigVersion: 6}) // still filtered by the previous one
	if got := b.Config.CompleteVersion("drawings"); got != 0 {
		t.Fatalf("complete version is %d for a subscription that was never sent", got)
	}
	effects := receive(n, core.Delta{Service: "drawings", Since: 5, ConfigVersion: 6})
	if len(effects) != 1 || effects[0] != (core.SendMessage{To: "p", Message: core.Pull{Since: 0}}) {
		t.Fatalf("effects are %+v", effects)
	}
	receive(n, core.Delta{Service: "drawings", Since: 0, ConfigVersion: 6})
	if got := b.Config.CompleteVersion("drawings"); got != 6 || b.Config.Current.Version != 6 {
		t.Fatalf("complete version is %d", got)
	}
}

func TestStoreReadsBackOffAndAgentsNeverRead(t *testing.T) {
	for role, wantReads := range map[model.Role][2]int{model.RoleBalancer: {20, 60}, model.RoleAgent: {0, 0}} {
		n, _ := newNode(role)
		reads := 0
		for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(core.TickInterval) {
			for _, e := range n.Step(now, core.Tick{}) {
				if _, ok := e.(core.LoadStore); ok {
					reads++
					n.Step(now, core.StoreFailed{})
				}
			}
		}
		if reads < wantReads[0] || reads > wantReads[1] {
			t.Errorf("a %v read %d times in 10 min of outage, want %v", role, reads, wantReads)
		}
	}
}
