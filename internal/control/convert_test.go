package control

import (
	"bufio"
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// sampleMessages returns one message of each type with every field set.
func sampleMessages() []core.Message {
	service := &model.Service{
		Name: "drawings", Mode: model.ModeFlow, Address: netip.MustParseAddrPort("127.0.0.1:4433"),
		Domains: []model.DomainName{"a", "b"}, Targets: []string{"draw-*"}, MaxSlots: 10,
		MaxConnections: 2000, IdleTimeout: time.Minute, RequestTimeout: time.Second,
	}
	member := model.Member{
		Node: "agent-1", Role: model.RoleAgent, Incarnation: 1 << 60, Revision: 3, State: model.StateSuspect,
		Domain: "a", DataAddr: netip.MustParseAddrPort("127.0.0.1:1"), ControlAddr: netip.MustParseAddrPort("[::1]:2"),
		AdminAddr: netip.MustParseAddrPort("127.0.0.1:3"), Service: "drawings", Target: "draw-1", Slots: 10, Connections: 2000,
	}
	key := func(kind model.ObjectKind, name string) model.ObjectKey {
		return model.ObjectKey{Kind: kind, Name: name}
	}
	return []core.Message{
		core.Delta{
			Service: "drawings", Part: 2, Parts: 3, Since: 4, ConfigVersion: 9,
			Objects: []model.Object{
				{Key: key(model.KindService, "drawings"), Version: 5, Service: service},
				{Key: key(model.KindDomain, "a"), Version: 6, Domain: &model.Domain{Name: "a", Region: "om-north"}},
				{Key: key(model.KindDomainState, "a"), Version: 7, DomainState: &model.DomainState{Name: "a", Out: true}},
				{Key: key(model.KindTargetState, "draw-1"), Version: 8, TargetState: &model.TargetState{Name: "draw-1", Drain: true}},
				{Key: key(model.KindService, "gone"), Version: 9},
			},
			Members: []model.Member{member},
		},
		core.Digest{ConfigVersion: 9, Members: 1 << 63},
		core.Pull{Since: 4},
		core.MemberPull{Buckets: []uint32{1, 1 << 31}},
		core.MemberBuckets{Count: 2, Indexes: []uint32{1}, Members: []model.Member{member}},
		core.Subscribe{Service: "drawings"},
		core.Heartbeat{Sequence: 1, ConfigVersion: 9},
		core.HeartbeatAck{Sequence: 1},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		frame, err := encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(bytes.NewReader(frameBytes(t, frame)))
		got, _, err := readMessage(in, protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes})
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v\nwant %+v", got, m)
		}
	}
}

func FuzzReadMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := encodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		raw := frameBytes(f, frame)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, _, err := readMessage(bufio.NewReader(bytes.NewReader(raw)), protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes})
		if err != nil {
			return
		}
		frame, err := encodeFrame(m)
		if err != nil {
			t.Fatalf("accepted a message that cannot be encoded: %v", err)
		}
		if got, err := decodeFrame(frame); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("message does not round trip: %+v, %+v, %v", got, m, err)
		}
	})
}
