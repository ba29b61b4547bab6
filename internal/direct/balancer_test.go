package direct

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/internal/store"
	"amaranthwheel.example/amaranthwheel/platform"
)

// applyTimeout is the time in which a change must be in force in a small deployment.
const applyTimeout = 3 * time.Second

// largeFleetWait is how long a poll waits in a fleet of 25 balancers.
const largeFleetWait = 18 * time.Second

// decodeTestState decodes a configuration whose value is its version.
func decodeTestState(pairs []store.KeyValue) (steering.OperatorState, []error) {
	state := steering.OperatorState{DomainsOut: make(map[string]bool)}
	for _, kv := range pairs {
		if kv.Key != "op/config" {
			continue
		}
		version, err := strconv.ParseInt(string(kv.Value), 10, 64)
		if err != nil {
			return state, []error{err}
		}
		state.Configuration = &steering.Configuration{Version: version}
	}
	return state, nil
}

// startBalancer starts a balancer on ephemeral loopback ports.
func startBalancer(t *testing.T, s store.PollingStore, decode func([]store.KeyValue) (steering.OperatorState, []error)) *Balancer {
	t.Helper()
	return startBalancerAt(t, netip.MustParseAddrPort("127.0.0.1:0"), s, decode)
}

// startBalancerAt is startBalancer with an address for callers' segments.
func startBalancerAt(t *testing.T, segments netip.AddrPort, s store.PollingStore, decode func([]store.KeyValue) (steering.OperatorState, []error)) *Balancer {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	conf := &settings.DirectBalancer{Direct: settings.Direct{
		Node: "b", Domain: "d", Segments: segments, Peer: loopback, Ready: loopback, Metrics: loopback, StopTimeout: time.Second,
		Store: settings.PollingStore{Address: loopback, Timeout: time.Second, Wait: largeFleetWait},
	}, ApplyTimeout: applyTimeout}
	b := NewBalancer(conf, Platform{
		Segments: platform.SegmentCodec{}, Store: s, SetStoreAddress: func(netip.AddrPort) {}, ReadyPath: "/ready", AgentPrefix: "op-agents/", WatchPrefix: "op",
		IsOperatorKey:       func(key string) bool { return strings.HasPrefix(key, "op/") },
		DecodeOperatorState: decode,
	}, obs.NewLoggerFactory(io.Discard, "info"), tally.NoopScope)
	if err := b.Start(http.NotFoundHandler()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	t.Cleanup(func() { _ = b.segmentConn.Close() })
	return b
}

// version returns the version of the configuration in force.
func (b *Balancer) version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steering.Version()
}

// The store drops a waiting poll without a response. A change must be in force in time
// although the poll would wait for many seconds more.
func TestChangeIsInForceThoughWatchIsSilentlyLost(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	b := startBalancer(t, s, decodeTestState)
	eventually(t, "first version", func() bool { return b.version() == 1 })
	time.Sleep(2 * minChangePause) // the balancer polls
	s.dropWaitingPolls()
	s.set("op/config", "2", 0)
	deadline := time.Now().Add(applyTimeout)
	for b.version() != 2 {
		if time.Now().After(deadline) {
			t.Fatalf("version %d is in force %v after version 2 was written", b.version(), applyTimeout)
		}
		time.Sleep(pollInterval)
	}
}
