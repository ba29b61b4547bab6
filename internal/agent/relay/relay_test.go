package relay

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

type eventChan chan core.Event

// Submit implements EventSink.
func (e eventChan) Submit(ev core.Event) { e <- ev }

func flowKey(port uint16) model.FlowKey {
	return model.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
}

func TestRelaySeparatesFlowsAndClosesIdleOnes(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := target.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	submitted := make(eventChan, 10)
	type response struct {
		flow model.FlowKey
		text string
	}
	responses := make(chan response, 10)
	r := New(Options{Events: submitted, MaxFlows: 2, IdleTimeout: 200 * time.Millisecond,
		SendResponse: func(flow model.FlowKey, payload []byte) { responses <- response{flow, string(payload)} }})
	defer r.Close()
	if err := r.Deliver(flowKey(1), nil); !errors.Is(err, ErrNoTarget) {
		t.Fatalf("got %v without a target", err)
	}
	r.SetTarget(target.LocalAddr().(*net.UDPAddr).AddrPort())
	for _, port := range []uint16{1, 2} {
		if err := r.Deliver(flowKey(port), []byte{byte('0' + port)}); err != nil {
			t.Fatal(err)
		}
		if got := <-responses; got.flow != flowKey(port) || got.text != string(rune('0'+port)) {
			t.Fatalf("got %v for flow %d", got, port)
		}
		if got := <-submitted; got != (core.FlowEstablished{Flow: flowKey(port)}) {
			t.Fatalf("got %v", got)
		}
	}
	if err := r.Deliver(flowKey(3), nil); !errors.Is(err, ErrFlowLimit) {
		t.Fatalf("got %v above the flow limit", err)
	}
	for range 2 {
		if _, ok := (<-submitted).(core.FlowClosed); !ok {
			t.Fatal("an idle flow was not reported as closed")
		}
	}
	if r.FlowCount() != 0 {
		t.Fatalf("%d flows are still open", r.FlowCount())
	}
}
