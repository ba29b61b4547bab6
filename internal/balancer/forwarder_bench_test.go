package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// testViews returns the views of one service whose candidates share an address.
func testViews(candidates int, data netip.AddrPort) map[model.ServiceID]*core.View {
	v := &core.View{Service: testService, Mode: model.ModeRequest}
	for i := range candidates {
		node := model.NodeID(fmt.Sprintf("agent-%d", i))
		m := model.Member{Node: node, DataAddr: data}
		v.Candidates = append(v.Candidates, core.Candidate{Member: m, Seed: routing.Seed(node), AcceptsNewFlows: true})
	}
	return map[model.ServiceID]*core.View{testService.ID(): v}
}

// BenchmarkRoute measures the routing of one datagram: choosing its home and
// encoding its header. The baselines are the flow's hash alone and a lookup in a
// flow table of 100,000 flows; each then encodes the same header.
func BenchmarkRoute(b *testing.B) {
	f := newTestForwarder(b, 7)
	buf := make([]byte, wire.MaxDatagramSize)
	header := wire.Header{Kind: wire.KindPacket, Service: testService.ID()}
	b.Run("baseline-hash-only", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			flow := testFlow(i & 0xffff)
			header.Caller, header.ViewDigest = flow.Caller, flow.Hash()
			f.keys.Encode(buf, &header, testPayloadSize)
		}
	})
	b.Run("baseline-flow-table", func(b *testing.B) {
		table := make(map[model.FlowKey]uint64)
		for i := range 100_000 {
			table[testFlow(i)] = uint64(i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			flow := testFlow(i & 0xffff)
			header.Caller, header.ViewDigest = flow.Caller, table[flow]
			f.keys.Encode(buf, &header, testPayloadSize)
		}
	})
	for _, candidates := range []int{3, 7, 30, 300} {
		b.Run(fmt.Sprintf("candidates-%d", candidates), func(b *testing.B) {
			f := newTestForwarder(b, candidates)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, h, _ := f.route(testFlow(i & 0xffff))
				f.keys.Encode(buf, &h, testPayloadSize)
			}
		})
	}
}

// BenchmarkRouteParallel shows that routing takes no lock: the time per
// datagram falls with the number of processors.
func BenchmarkRouteParallel(b *testing.B) {
	f := newTestForwarder(b, 7)
	b.RunParallel(func(pb *testing.PB) {
		buf := make([]byte, wire.MaxDatagramSize)
		for i := 0; pb.Next(); i++ {
			_, h, _ := f.route(testFlow(i & 0xffff))
			f.keys.Encode(buf, &h, testPayloadSize)
		}
	})
}

// BenchmarkForwardParallel includes the send call. It compares one socket for
// all goroutines, as in earlier versions, with a socket per goroutine, as each
// service has now.
func BenchmarkForwardParallel(b *testing.B) {
	f := newTestForwarder(b, 7)
	b.Run("shared-socket", func(b *testing.B) {
		conn := listenLoopback(b)
		forwardParallel(b, f, func() *net.UDPConn { return conn })
	})
	b.Run("separate-sockets", func(b *testing.B) {
		forwardParallel(b, f, func() *net.UDPConn { return listenLoopback(b) })
	})
}

// loopStepInterval is the number of datagrams between two loop steps.
const loopStepInterval = 1024

func forwardParallel(b *testing.B, f *Forwarder, newSocket func() *net.UDPConn) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		conn := newSocket()
		buf := make([]byte, wire.MaxDatagramSize)
		for i := 0; pb.Next(); i++ {
			if i%loopStepInterval == 0 {
				f.RecordLoopStep() // without loop steps the forwarder drops datagrams
			}
			f.forward(conn, buf, testPayloadSize, testFlow(i&0xffff))
		}
	})
}
