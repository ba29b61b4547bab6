package claims

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// pendingClaim is a request of this agent that waits for the decision of its
// key's owner.
type pendingClaim struct {
	record       *record // in state statePending
	queriedNodes []model.NodeID
	queriedAt    time.Time
}

// handleRequestArrived starts the claim of a request with a key. The key of a
// request that was handed over is claimed by the agent that handed it over.
func (c *Controller) handleRequestArrived(t *core.Turn, ev core.RequestArrived) {
	if ev.Key == "" || ev.HandedOver && !ev.ReplayOnly {
		return
	}
	if _, known := t.Board.Claims.Claims[ev.ID]; known {
		return
	}
	key := hashKey(ev.Flow.Service, ev.Key)
	self := &t.Board.Self.Member
	r := &record{
		key: key, digest: truncateDigest(ev.Digest), state: statePending, service: ev.Flow.Service,
		claim: claimID{self.Node, self.Incarnation, ev.ID},
	}
	existing := c.table.records[key]
	switch {
	case ev.ReplayOnly && !existing.blocksRequests():
		t.Board.Claims.Claims[ev.ID] = refusedClaim(core.RefuseKeyOutcomeUnknown)
	case existing.blocksRequests() && existing.claim.node == self.Node || ev.ReplayOnly:
		t.Board.Claims.Claims[ev.ID] = c.decideClaim(t, r, existing)
	case c.table.isFull():
		t.Board.Claims.Claims[ev.ID] = refusedClaim(core.RefuseKeyOwnerTimeout)
	default:
		t.Board.Claims.Claims[ev.ID] = core.Claim{State: core.ClaimPending}
		p := &pendingClaim{record: r}
		c.pendingClaims[ev.ID] = p
		c.sendQuery(t, p)
	}
}

func refusedClaim(reason core.RefuseReason) core.Claim {
	return core.Claim{State: core.ClaimRefused, Reason: reason}
}

// sendQuery sends the claim to the key's present owner.
func (c *Controller) sendQuery(t *core.Turn, p *pendingClaim) {
	to, ok := keyOwner(t, p.record.service, p.record.key)
	if !ok {
		return
	}
	p.queriedAt = t.Now
	if !slices.Contains(p.queriedNodes, to) {
		p.queriedNodes = append(p.queriedNodes, to)
	}
	if to == t.Board.Self.Member.Node {
		c.handleQuery(t, to, p.record)
		return
	}
	c.sendMessage(t, p.record.service, to, &claimpb.Message{Body: &claimpb.Message_Ask{
		Ask: &claimpb.Ask{Record: encodeRecord(p.record)},
	}})
}

func (c *Controller) retryQueries(t *core.Turn) {
	for _, id := range sortedIDs(c.pendingClaims) {
		if p := c.pendingClaims[id]; p != nil && t.Now.Sub(p.queriedAt) >= retryInterval {
			c.sendQuery(t, p)
		}
	}
}

// handleReply handles the owner's reply. A grant for a request that has ended
// is released.
func (c *Controller) handleReply(t *core.Turn, claim claimID, r *record) {
	self := &t.Board.Self.Member
	if r == nil || claim.node != self.Node || claim.incarnation != self.Incarnation {
		return
	}
	p := c.pendingClaims[claim.request]
	granted := r.claim == claim && r.state == stateInProgress
	switch {
	case p == nil && granted:
		c.releaseUnusedGrant(t, r)
	case p == nil || p.record.key != r.key:
		return
	case granted:
		c.acceptGrant(t, p, r)
	case r.claim != claim:
		delete(c.pendingClaims, claim.request)
		c.releaseClaim(t, p)
		t.Board.Claims.Claims[claim.request] = c.decideClaim(t, p.record, r)
	}
}

// acceptGrant allows the request to run and makes this node the holder.
func (c *Controller) acceptGrant(t *core.Turn, p *pendingClaim, r *record) {
	id := p.record.claim.request
	delete(c.pendingClaims, id)
	if existing := c.table.records[r.key]; existing != nil && existing.claim == r.claim {
		existing.generation = max(existing.generation, r.generation)
		r = existing
	} else {
		c.table.store(r, t.Now)
	}
	c.grantedRecords[id] = r
	t.Board.Claims.Claims[id] = core.Claim{State: core.ClaimGranted}
}

// releaseUnusedGrant releases a key that was granted to a request that has
// ended. A grant that was used stays.
func (c *Controller) releaseUnusedGrant(t *core.Turn, r *record) {
	if existing := c.table.records[r.key]; existing != nil && existing.claim == r.claim {
		return
	}
	c.releaseClaim(t, &pendingClaim{record: r})
}

// decideClaim returns the decision on a request's own claim, given the record
// of another request with its key.
func (c *Controller) decideClaim(t *core.Turn, own, r *record) core.Claim {
	if r.digest != own.digest {
		return refusedClaim(core.RefuseKeyReused)
	}
	holderGone := hasEnded(t, r.claim.node, r.claim.incarnation)
	switch r.state {
	case stateDone:
		return c.decideReplay(t, r, holderGone)
	case stateOutcomeUnknown:
		return refusedClaim(core.RefuseKeyOutcomeUnknown)
	case stateInProgress:
		if holderGone {
			return refusedClaim(core.RefuseKeyOutcomeUnknown)
		}
	}
	return refusedClaim(core.RefuseKeyInProgress)
}

// decideReplay replays the stored response, here or at the holder.
func (c *Controller) decideReplay(t *core.Turn, r *record, holderGone bool) core.Claim {
	if r.claim.node != t.Board.Self.Member.Node && !holderGone {
		return core.Claim{State: core.ClaimReplayAtHolder, Holder: r.claim.node}
	}
	if existing := c.table.records[r.key]; existing != nil && existing.claim == r.claim && existing.response != nil {
		return core.Claim{State: core.ClaimReplay, Response: existing.response}
	}
	return refusedClaim(core.RefuseKeyCompleted)
}

func sortedIDs(m map[core.RequestID]*pendingClaim) []core.RequestID {
	ids := make([]core.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
