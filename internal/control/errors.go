package control

import (
	"errors"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MalformedError reports a message that is not valid protobuf or has an
// invalid field.
type MalformedError struct{ Err error }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed control message: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *MalformedError) Unwrap() error { return e.Err }

// Errors that close or reject a session.
var (
	// ErrClosed reports that the hub is closed.
	ErrClosed = errors.New("control hub is closed")
	// ErrSlowPeer closes a session whose send queue is full.
	ErrSlowPeer = errors.New("peer reads too slowly: send queue is full")
	// ErrReplaced closes a session that another one with the peer replaces.
	ErrReplaced = errors.New("session was replaced by another one with the peer")
	// ErrDuplicate rejects a session with a peer that has a preferred one.
	ErrDuplicate = errors.New("peer already has a session")
)

// Counters are totals since the hub was created.
type Counters struct {
	// BytesSent and BytesReceived count the bytes of control messages, without
	// the headers of TCP and yamux.
	BytesSent, BytesReceived uint64
	// MessagesSent and MessagesReceived count control messages.
	MessagesSent, MessagesReceived uint64
	// RejectedProof, RejectedCluster, Malformed, Oversized and SlowPeers count
	// the connections closed for that reason.
	RejectedProof, RejectedCluster, Malformed, Oversized, SlowPeers uint64
	// FailedHandshakes counts handshakes that failed for any reason.
	FailedHandshakes uint64
	// DroppedMessages counts messages to peers without a session and messages
	// above MaxMessageBytes.
	DroppedMessages uint64
}

func (h *Hub) countError(err error) {
	var malformed *MalformedError
	var oversized *protodelim.SizeTooLargeError
	switch {
	case errors.Is(err, ErrProof):
		h.addCount(&h.counters.RejectedProof, 1)
	case errors.Is(err, ErrCluster):
		h.addCount(&h.counters.RejectedCluster, 1)
	case errors.Is(err, ErrSlowPeer):
		h.addCount(&h.counters.SlowPeers, 1)
	case errors.As(err, &oversized):
		h.addCount(&h.counters.Oversized, 1)
	case errors.As(err, &malformed):
		h.addCount(&h.counters.Malformed, 1)
	}
}

func (h *Hub) addCount(counter *uint64, delta uint64) {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	*counter += delta
}

// Counters returns a copy of the current totals.
func (h *Hub) Counters() Counters {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	return h.counters
}
