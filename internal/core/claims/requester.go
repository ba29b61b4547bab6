package claims

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// pending is a request of this agent that waits for its key's owner.
type pending struct {
	record *record // in state asked
	asked  []model.NodeID
	last   time.Time
}

// arrived starts the claim of a request with a key. The key of a request that
// was handed over is claimed by the agent that it came from.
func (c *Controller) arrived(t *core.Turn, ev core.RequestArrived) {
	if ev.Key == "" || ev.HandedOver && !ev.ReplayOnly {
		return
	}
	if _, known := t.Board.Claims.Claims[ev.ID]; known {
		return
	}
	key := hashKey(ev.Flow.Service, ev.Key)
	self := &t.Board.Self.Member
	r := &record{
		key: key, digest: shortDigest(ev.Digest), state: stateAsked, service: ev.Flow.Service,
		claim: claimID{self.Node, self.Incarnation, ev.ID},
	}
	held := c.table.records[key]
	switch {
	case ev.ReplayOnly && !held.live():
		t.Board.Claims.Claims[ev.ID] = refused(core.RefuseKeyOutcomeUnknown)
	case held.live() && held.claim.node == self.Node || ev.ReplayOnly:
		t.Board.Claims.Claims[ev.ID] = c.verdict(t, r, held)
	case c.table.full():
		t.Board.Claims.Claims[ev.ID] = refused(core.RefuseKeyOwnerTimeout)
	default:
		t.Board.Claims.Claims[ev.ID] = core.Claim{State: core.ClaimPending}
		p := &pending{record: r}
		c.pending[ev.ID] = p
		c.ask(t, p)
	}
}

func refused(reason core.RefuseReason) core.Claim {
	return core.Claim{State: core.ClaimRefused, Reason: reason}
}

// ask asks the key's present owner.
func (c *Controller) ask(t *core.Turn, p *pending) {
	to, ok := owner(t, p.record.service, p.record.key)
	if !ok {
		return
	}
	p.last = t.Now
	if !slices.Contains(p.asked, to) {
		p.asked = append(p.asked, to)
	}
	if to == t.Board.Self.Member.Node {
		c.asked(t, to, p.record)
		return
	}
	c.send(t, p.record.service, to, &claimpb.Message{Body: &claimpb.Message_Ask{
		Ask: &claimpb.Ask{Record: encodeRecord(p.record)},
	}})
}

func (c *Controller) retryPending(t *core.Turn) {
	for _, id := range sortedIDs(c.pending) {
		if p := c.pending[id]; p != nil && t.Now.Sub(p.last) >= retryInterval {
			c.ask(t, p)
		}
	}
}

// answered handles the owner's answer. A grant for a request that has ended
// is given back.
func (c *Controller) answered(t *core.Turn, claim claimID, r *record) {
	self := &t.Board.Self.Member
	if r == nil || claim.node != self.Node || claim.incarnation != self.Incarnation {
		return
	}
	p := c.pending[claim.request]
	ours := r.claim == claim && r.state == stateProgress
	switch {
	case p == nil && ours:
		c.giveBack(t, r)
	case p == nil || p.record.key != r.key:
		return
	case ours:
		c.takeGrant(t, p, r)
	case r.claim != claim:
		delete(c.pending, claim.request)
		c.release(t, p)
		t.Board.Claims.Claims[claim.request] = c.verdict(t, p.record, r)
	}
}

// takeGrant gives the request the right to run and makes this node the holder.
func (c *Controller) takeGrant(t *core.Turn, p *pending, r *record) {
	id := p.record.claim.request
	delete(c.pending, id)
	if held := c.table.records[r.key]; held != nil && held.claim == r.claim {
		held.generation = max(held.generation, r.generation)
		r = held
	} else {
		c.table.put(r, t.Now)
	}
	c.granted[id] = r
	t.Board.Claims.Claims[id] = core.Claim{State: core.ClaimGranted}
}

// giveBack frees a key that was granted to a request that has ended. A grant
// that was used is left alone.
func (c *Controller) giveBack(t *core.Turn, r *record) {
	if held := c.table.records[r.key]; held != nil && held.claim == r.claim {
		return
	}
	c.release(t, &pending{record: r})
}

// verdict tells a request what the record of another one with its key means.
func (c *Controller) verdict(t *core.Turn, mine, r *record) core.Claim {
	if r.digest != mine.digest {
		return refused(core.RefuseKeyReused)
	}
	lost := gone(t, r.claim.node, r.claim.incarnation)
	switch r.state {
	case stateDone:
		return c.doneVerdict(t, r, lost)
	case stateUnknown:
		return refused(core.RefuseKeyOutcomeUnknown)
	case stateProgress:
		if lost {
			return refused(core.RefuseKeyOutcomeUnknown)
		}
	}
	return refused(core.RefuseKeyInProgress)
}

// doneVerdict replays the stored answer, here or at the agent that keeps it.
func (c *Controller) doneVerdict(t *core.Turn, r *record, lost bool) core.Claim {
	if r.claim.node != t.Board.Self.Member.Node && !lost {
		return core.Claim{State: core.ClaimReplayAtHolder, Holder: r.claim.node}
	}
	if held := c.table.records[r.key]; held != nil && held.claim == r.claim && held.answer != nil {
		return core.Claim{State: core.ClaimReplay, Response: held.answer}
	}
	return refused(core.RefuseKeyCompleted)
}

func sortedIDs(m map[core.RequestID]*pending) []core.RequestID {
	ids := make([]core.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
