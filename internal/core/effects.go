package core

import (
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Effect is an action that a process carries out for its node.
type Effect interface{ effect() }

// Dial opens a control session to the address. The result is reported by
// SessionOpened or DialFailed.
type Dial struct{ Addr netip.AddrPort }

// CloseSession closes the control session with a peer.
type CloseSession struct {
	Peer   model.NodeID
	Reason string
}

// SendMessage sends a control message to a peer with an open session.
type SendMessage struct {
	To      model.NodeID
	Message Message
}

// SendDatagram sends a datagram to another agent.
type SendDatagram struct {
	To      netip.AddrPort
	Header  wire.Header
	Payload []byte
}

// DeliverDatagram delivers a caller's datagram to the local end of a local
// flow.
type DeliverDatagram struct {
	Flow    model.FlowKey
	Payload []byte
}

// CloseFlow closes a local flow at its local end.
type CloseFlow struct {
	Flow   model.FlowKey
	Reason string
}

// PublishViews passes the current views to the packet path.
type PublishViews struct{ Views map[model.ServiceID]*View }

// LoadStore reads the objects of the store that changed after version Since.
// The result is reported by StoreLoaded or StoreFailed.
type LoadStore struct{ Since uint64 }

// WatchStore starts or stops the watch on the store's version key. While it is
// on, the process sends StoreLoaded whenever the version has risen above After.
type WatchStore struct {
	On    bool
	After uint64
}

// Log writes a log line for operators.
type Log struct {
	Part   string
	Text   string
	Fields []any // alternating keys and values
}

// Count adds to a metric counter.
type Count struct {
	Name  string
	Delta int64
}

func (Dial) effect()            {}
func (CloseSession) effect()    {}
func (SendMessage) effect()     {}
func (SendDatagram) effect()    {}
func (DeliverDatagram) effect() {}
func (CloseFlow) effect()       {}
func (PublishViews) effect()    {}
func (LoadStore) effect()       {}
func (WatchStore) effect()      {}
func (Log) effect()             {}
func (Count) effect()           {}
