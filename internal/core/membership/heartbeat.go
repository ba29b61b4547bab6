package membership

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// sentHeartbeats is the number of heartbeats whose acknowledgement still
// counts.
const sentHeartbeats = 8

// heartbeat sends this node's heartbeats and renews its lease.
type heartbeat struct {
	options  Options
	watchers []model.NodeID
	next     time.Time
	sequence uint64
	// sent is the send times of the newest heartbeats, by sequence.
	sent [sentHeartbeats]time.Time
}

func (h *heartbeat) tick(t *core.Turn) {
	if t.Now.Before(h.next) || t.Board.Self.Member.Gone() {
		return
	}
	h.next = t.Now.Add(h.options.HeartbeatInterval)
	h.sequence++
	h.sent[h.sequence%sentHeartbeats] = t.Now
	beat := core.Heartbeat{Sequence: h.sequence, ConfigVersion: t.Board.Config.Current.Version}
	for _, watcher := range h.watchers {
		if _, open := t.Board.Peers.Sessions[watcher]; open {
			t.Emit(core.SendMessage{To: watcher, Message: beat})
		}
	}
}

// acknowledged renews the lease from the time the heartbeat was sent, so that
// the time on the way never extends it.
func (h *heartbeat) acknowledged(t *core.Turn, sequence uint64) {
	if sequence > h.sequence || sequence == 0 || h.sequence-sequence >= sentHeartbeats {
		return
	}
	until := h.sent[sequence%sentHeartbeats].Add(h.options.LeaseDuration)
	if until.After(t.Board.Lease.ValidUntil) {
		t.Board.Lease.ValidUntil = until
	}
}
