package membership

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// heartbeatWindow is the number of latest heartbeats whose acknowledgements are
// accepted.
const heartbeatWindow = 8

// heartbeat sends this node's heartbeats and renews its lease.
type heartbeat struct {
	options  Options
	watchers []model.NodeID
	nextAt   time.Time
	sequence uint64
	// sentAt holds the send times of the latest heartbeats, by sequence.
	sentAt [heartbeatWindow]time.Time
}

func (h *heartbeat) tick(t *core.Turn) {
	if t.Now.Before(h.nextAt) || t.Board.Self.Member.Gone() {
		return
	}
	h.nextAt = t.Now.Add(h.options.HeartbeatInterval)
	h.sequence++
	h.sentAt[h.sequence%heartbeatWindow] = t.Now
	message := core.Heartbeat{Sequence: h.sequence, ConfigVersion: t.Board.Config.Current.Version}
	for _, watcher := range h.watchers {
		if _, open := t.Board.Peers.Sessions[watcher]; open {
			t.Emit(core.SendMessage{To: watcher, Message: message})
		}
	}
}

// handleAck renews the lease from the time at which the heartbeat was sent, so
// that network delay never extends it.
func (h *heartbeat) handleAck(t *core.Turn, sequence uint64) {
	if sequence > h.sequence || sequence == 0 || h.sequence-sequence >= heartbeatWindow {
		return
	}
	until := h.sentAt[sequence%heartbeatWindow].Add(h.options.LeaseDuration)
	if until.After(t.Board.Lease.ValidUntil) {
		t.Board.Lease.ValidUntil = until
	}
}
