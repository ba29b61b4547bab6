package control

import (
	"errors"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MalformedError reports a message that is not valid protobuf or has a field
// out of range.
type MalformedError struct{ Err error }

// Error returns what is wrong with the message.
func (e *MalformedError) Error() string { return "malformed control message: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Errors that end or refuse a session.
var (
	// ErrClosed reports a closed hub.
	ErrClosed = errors.New("control hub is closed")
	// ErrSlowPeer ends a session whose send queue is full.
	ErrSlowPeer = errors.New("peer does not read: send queue is full")
	// ErrReplaced ends a session that another one with the peer replaces.
	ErrReplaced = errors.New("session is replaced by another one with the peer")
	// ErrDuplicate refuses a session with a peer that has a better one.
	ErrDuplicate = errors.New("peer already has a session")
)

// Counters are totals since the hub was created.
type Counters struct {
	// BytesSent and BytesReceived count control messages, without the headers
	// of TCP and yamux.
	BytesSent, BytesReceived uint64
	// MessagesSent and MessagesReceived count control messages.
	MessagesSent, MessagesReceived uint64
	// RejectedProof, RejectedCluster, Malformed, Oversized and SlowPeers count
	// the connections that were closed for that reason.
	RejectedProof, RejectedCluster, Malformed, Oversized, SlowPeers uint64
	// FailedHandshakes counts handshakes that failed for any reason.
	FailedHandshakes uint64
	// DroppedMessages counts messages for peers without a session, and
	// messages above MaxMessageBytes.
	DroppedMessages uint64
}

func (h *Hub) countError(err error) {
	var malformed *MalformedError
	var oversized *protodelim.SizeTooLargeError
	switch {
	case errors.Is(err, ErrProof):
		h.count(&h.counters.RejectedProof, 1)
	case errors.Is(err, ErrCluster):
		h.count(&h.counters.RejectedCluster, 1)
	case errors.Is(err, ErrSlowPeer):
		h.count(&h.counters.SlowPeers, 1)
	case errors.As(err, &oversized):
		h.count(&h.counters.Oversized, 1)
	case errors.As(err, &malformed):
		h.count(&h.counters.Malformed, 1)
	}
}

func (h *Hub) count(counter *uint64, delta uint64) {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	*counter += delta
}

// Counters returns the totals so far.
func (h *Hub) Counters() Counters {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	return h.counters
}
