package wire_test

import (
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

var secret = []byte("0123456789abcdef")

func encode(keys wire.Keys, h wire.Header, payload []byte) []byte {
	buf := make([]byte, wire.HeaderSize+len(payload))
	copy(buf[wire.HeaderSize:], payload)
	keys.Encode(buf, &h, len(payload))
	return buf
}

func TestHeaderRoundTrip(t *testing.T) {
	keys := wire.NewKeys([][]byte{secret})
	rapid.Check(t, func(t *rapid.T) {
		addr := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "v4")))
		if rapid.Bool().Draw(t, "v6") {
			addr = netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "v6 address")))
		}
		want := wire.Header{
			Kind:       wire.Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
			Hops:       rapid.Uint8().Draw(t, "hops"),
			Service:    model.ServiceID(rapid.Uint64().Draw(t, "service")),
			Caller:     netip.AddrPortFrom(addr, rapid.Uint16().Draw(t, "port")),
			ViewDigest: rapid.Uint64().Draw(t, "view"),
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 1400).Draw(t, "payload")
		got, rest, err := keys.Decode(encode(keys, want, payload))
		if err != nil || got != want || string(rest) != string(payload) {
			t.Fatalf("got %+v, %d bytes, %v; want %+v, %d bytes", got, len(rest), err, want, len(payload))
		}
	})
}

func TestDecodeRejects(t *testing.T) {
	keys := wire.NewKeys([][]byte{secret})
	h := wire.Header{Kind: wire.KindPacket, Caller: netip.MustParseAddrPort("127.0.0.1:5000")}
	valid := encode(keys, h, []byte("payload"))
	flipBit := func(i int) []byte {
		b := append([]byte(nil), valid...)
		b[i] ^= 1
		return b
	}
	foreign := encode(wire.NewKeys([][]byte{[]byte("another secret 1")}), h, []byte("payload"))
	cases := map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":             {nil, wire.ErrTruncated},
		"truncated header":  {valid[:wire.HeaderSize-1], wire.ErrTruncated},
		"truncated payload": {valid[:len(valid)-1], wire.ErrMAC},
		"other magic":       {flipBit(0), wire.ErrUnknownProtocol},
		"other version":     {flipBit(2), wire.ErrUnknownProtocol},
		"other service":     {flipBit(9), wire.ErrMAC},
		"other caller":      {flipBit(20), wire.ErrMAC},
		"other key":         {foreign, wire.ErrMAC},
		"too long":          {make([]byte, wire.MaxDatagramSize+1), wire.ErrTooLong},
	}
	for name, c := range cases {
		if _, _, err := keys.Decode(c.datagram); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
}

func TestMACCoversPayloadOfAgentMessages(t *testing.T) {
	keys := wire.NewKeys([][]byte{secret})
	for _, kind := range []wire.Kind{wire.KindPlacement, wire.KindClaim} {
		datagram := encode(keys, wire.Header{Kind: kind}, []byte("message"))
		datagram[len(datagram)-1] ^= 1
		if _, _, err := keys.Decode(datagram); !errors.Is(err, wire.ErrMAC) {
			t.Errorf("kind %d: accepted a modified payload: %v", kind, err)
		}
	}
}

func TestKeyRotation(t *testing.T) {
	oldKeys := wire.NewKeys([][]byte{secret})
	rotatingKeys := wire.NewKeys([][]byte{[]byte("the next secret!"), secret})
	h := wire.Header{Kind: wire.KindForward, Caller: netip.MustParseAddrPort("[::1]:5000")}
	if _, _, err := rotatingKeys.Decode(encode(oldKeys, h, nil)); err != nil {
		t.Errorf("the old key is rejected during rotation: %v", err)
	}
	if _, _, err := oldKeys.Decode(encode(rotatingKeys, h, nil)); !errors.Is(err, wire.ErrMAC) {
		t.Errorf("got %v, want ErrMAC", err)
	}
}

func FuzzDecode(f *testing.F) {
	keys := wire.NewKeys([][]byte{secret})
	f.Add(encode(keys, wire.Header{Kind: wire.KindPacket}, []byte("x")))
	f.Add([]byte{0xa5, 0x7c, 1, 1})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, payload, err := keys.Decode(datagram)
		if err == nil && len(payload)+wire.HeaderSize != len(datagram) {
			t.Errorf("decoded %+v with %d bytes of %d", h, len(payload), len(datagram))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	keys := wire.NewKeys([][]byte{secret})
	buf := make([]byte, wire.HeaderSize+1200)
	h := wire.Header{Kind: wire.KindPacket, Caller: netip.MustParseAddrPort("127.0.0.1:5000")}
	b.ReportAllocs()
	for b.Loop() {
		keys.Encode(buf, &h, 1200)
	}
}
