package core

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Event is an input of a node: a message, a result or the passing of time.
type Event interface{ event() }

// Tick triggers periodic work; processes send one every TickInterval.
type Tick struct{}

// TickInterval is the interval at which a process sends Tick.
const TickInterval = 50 * time.Millisecond

// SessionOpened reports an authenticated control session with a peer.
type SessionOpened struct {
	Member model.Member
	// Service is the subscription that an agent requested.
	Service model.ServiceName
}

// SessionClosed reports the end of a control session.
type SessionClosed struct{ Peer model.NodeID }

// DialFailed reports that no session could be opened to the address.
type DialFailed struct{ Addr netip.AddrPort }

// MessageReceived carries a control message from a peer.
type MessageReceived struct {
	From    model.NodeID
	Message Message
}

// DatagramReceived carries an authenticated datagram. Payload is valid only
// during the step; controllers copy what they retain.
type DatagramReceived struct {
	From    netip.AddrPort
	Header  wire.Header
	Payload []byte
}

// StoreLoaded carries configuration objects read from the store.
type StoreLoaded struct {
	// Version is the configuration version that the read reflects.
	Version uint64
	Objects []model.Object
}

// StoreFailed reports a failed or timed out store call.
type StoreFailed struct{ Err error }

// Announcement is a target's description of itself to its agent.
type Announcement struct {
	Target      model.TargetName
	Service     model.ServiceName
	Address     netip.AddrPort
	Slots       int
	Connections int
	// Instance changes when the target's process restarts.
	Instance string
	// Draining reports that the target accepts no new work.
	Draining bool
}

// TargetAnnounced reports an announcement; targets repeat it every few
// seconds.
type TargetAnnounced struct{ Announcement Announcement }

// TargetWithdrawn reports that the target withdrew its announcement or stopped
// repeating it.
type TargetWithdrawn struct{}

// FlowEstablished reports that the caller of a local flow completed its
// handshake.
type FlowEstablished struct{ Flow model.FlowKey }

// FlowClosed reports that a local flow has closed.
type FlowClosed struct{ Flow model.FlowKey }

// EndpointClosed reports that an agent that is stopping has closed its local endpoint:
// its flows have ended, or have never begun their handshake.
type EndpointClosed struct{}

// StopRequested starts a planned stop.
type StopRequested struct{}

func (Tick) event()             {}
func (SessionOpened) event()    {}
func (SessionClosed) event()    {}
func (DialFailed) event()       {}
func (MessageReceived) event()  {}
func (DatagramReceived) event() {}
func (StoreLoaded) event()      {}
func (StoreFailed) event()      {}
func (TargetAnnounced) event()  {}
func (TargetWithdrawn) event()  {}
func (FlowEstablished) event()  {}
func (FlowClosed) event()       {}
func (EndpointClosed) event()   {}
func (StopRequested) event()    {}
