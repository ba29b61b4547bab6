package claims

import (
	"bytes"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// abandonAfter is how long an owner goes on for a claim that is no longer
	// asked for.
	abandonAfter = time.Second
	// deputyPatience is how long a grant waits for the deputy before the next
	// candidate may stand in for it.
	deputyPatience = 300 * time.Millisecond
	// maxCeded bounds the keys that other owners probed.
	maxCeded = 4096
	// cededRetention is how long a probed key is remembered.
	cededRetention = 5 * time.Minute
)

// grant is a granted record that waits for a deputy to have it.
type grant struct {
	record *record
	asker  model.NodeID
	since  time.Time
}

// probe asks the other candidates about a key before it is granted.
type probe struct {
	record *record // the claim, in state asked
	asker  model.NodeID
	round  uint64
	digest uint64 // of the view
	wait   []model.NodeID
	sent   time.Time
	last   time.Time // last question of the asker
	// generation is the highest that was seen.
	generation uint64
}

// asked decides on a claim as the key's owner. Claims that it cannot decide
// now are left unanswered; the asker repeats.
func (c *Controller) asked(t *core.Turn, asker model.NodeID, r *record) {
	if !c.mayGrant(t, r) {
		return
	}
	held := c.table.records[r.key]
	if held != nil && held.claim == r.claim {
		c.askedAgain(t, asker, held)
		return
	}
	if held.live() {
		c.answer(t, asker, r, held)
		return
	}
	if p := c.probes[r.key]; p != nil && p.record.claim != r.claim {
		c.answer(t, asker, r, p.record)
		return
	}
	if c.settled(t, r.service, r.key) {
		c.grantTo(t, asker, r, 0)
		return
	}
	c.startProbe(t, asker, r)
}

// mayGrant reports whether this node owns the key, under a valid lease.
func (c *Controller) mayGrant(t *core.Turn, r *record) bool {
	own, ok := owner(t, r.service, r.key)
	return ok && own == t.Board.Self.Member.Node && t.Board.Lease.Valid(t.Now)
}

// askedAgain handles the repeated question of a claim that has a record.
func (c *Controller) askedAgain(t *core.Turn, asker model.NodeID, held *record) {
	if g := c.grants[held.key]; g != nil && g.record == held {
		return
	}
	if held.state == stateProgress {
		c.answer(t, asker, held, held)
	}
}

// answer tells the asker what holds for its key.
func (c *Controller) answer(t *core.Turn, asker model.NodeID, asked, r *record) {
	if asker == t.Board.Self.Member.Node {
		copied := *r
		c.answered(t, asked.claim, &copied)
		return
	}
	c.send(t, asked.service, asker, &claimpb.Message{Body: &claimpb.Message_Answer{
		Answer: &claimpb.Answer{Claim: encodeClaim(asked.claim), Record: encodeRecord(r)},
	}})
}

// startProbe asks all other candidates, or goes on doing so.
func (c *Controller) startProbe(t *core.Turn, asker model.NodeID, r *record) {
	p := c.probes[r.key]
	view := t.Board.Routes.Views[r.service]
	if p == nil || p.digest != view.Digest {
		c.round++
		asked := *r
		p = &probe{
			record: &asked, asker: asker, round: c.round, digest: view.Digest,
			wait: c.probeTargets(t, view, r.key),
		}
		c.probes[r.key] = p
	}
	p.last = t.Now
	c.sendProbe(t, p)
}

// probeTargets returns the other candidates, and the node that probed the key
// before as long as it lives.
func (c *Controller) probeTargets(t *core.Turn, view *core.View, key keyHash) []model.NodeID {
	targets := nodes(view.Candidates, t.Board.Self.Member.Node)
	ceded, ok := c.ceded[key]
	if !ok || slices.Contains(targets, ceded.to) {
		return targets
	}
	if m, known := t.Board.Members.Records[ceded.to]; known && !m.Gone() {
		targets = append(targets, ceded.to)
	}
	return targets
}

func (c *Controller) sendProbe(t *core.Turn, p *probe) {
	if len(p.wait) == 0 {
		c.probeDone(t, p)
		return
	}
	if t.Now.Sub(p.sent) < retryInterval {
		return
	}
	p.sent = t.Now
	for _, to := range p.wait {
		c.send(t, p.record.service, to, &claimpb.Message{Body: &claimpb.Message_Probe{Probe: &claimpb.Probe{
			Key: p.record.key[:], Round: p.round, Claim: encodeClaim(p.record.claim),
		}}})
	}
}

// retryProbes repeats the probes and drops those nobody waits for.
func (c *Controller) retryProbes(t *core.Turn) {
	for _, key := range sortedKeys(c.probes) {
		p := c.probes[key]
		view := t.Board.Routes.Views[p.record.service]
		if t.Now.Sub(p.last) >= abandonAfter || view == nil || view.Digest != p.digest {
			delete(c.probes, key)
			continue
		}
		c.sendProbe(t, p)
	}
}

// probed tells another owner what this node knows of a key beyond the claim
// that it probes for. From now on this node probes in turn before it grants
// the key.
func (c *Controller) probed(t *core.Turn, service model.ServiceID, from model.NodeID, m *claimpb.Probe) {
	if len(m.Key) != len(keyHash{}) {
		return
	}
	key := keyHash(m.Key)
	c.cede(t, service, key, from)
	reply := &claimpb.ProbeReply{Key: m.Key, Round: m.Round}
	if r := c.knownBeyond(key, decodeClaim(m.Claim), from); r != nil {
		reply.Record = encodeRecord(r)
	}
	c.send(t, service, from, &claimpb.Message{Body: &claimpb.Message_ProbeReply{ProbeReply: reply}})
}

// knownBeyond returns what is known of a key: a record, a claim that this node
// is about to grant, or one that another owner may have granted to it.
func (c *Controller) knownBeyond(key keyHash, claim claimID, prober model.NodeID) *record {
	if r := c.table.records[key]; r != nil {
		return r
	}
	if p := c.probes[key]; p != nil && p.record.claim != claim {
		return p.record
	}
	for _, id := range sortedIDs(c.pending) {
		p := c.pending[id]
		elsewhere := slices.ContainsFunc(p.asked, func(n model.NodeID) bool { return n != prober })
		if p.record.key == key && p.record.claim != claim && elsewhere {
			return p.record
		}
	}
	return nil
}

// probeReplied takes a candidate's answer.
func (c *Controller) probeReplied(t *core.Turn, service model.ServiceID, from model.NodeID, m *claimpb.ProbeReply) {
	if len(m.Key) != len(keyHash{}) {
		return
	}
	p := c.probes[keyHash(m.Key)]
	if p == nil || p.round != m.Round {
		return
	}
	if r := decodeRecord(service, m.Record); r != nil && r.key == p.record.key {
		if r.state == stateAsked {
			delete(c.probes, r.key)
			c.answer(t, p.asker, p.record, r)
			return
		}
		p.generation = max(p.generation, r.generation)
		c.table.merge(r, t.Now)
	}
	p.wait = slices.DeleteFunc(p.wait, func(n model.NodeID) bool { return n == from })
	if len(p.wait) == 0 {
		c.probeDone(t, p)
	}
}

// probeDone decides on a claim after all candidates have answered.
func (c *Controller) probeDone(t *core.Turn, p *probe) {
	delete(c.probes, p.record.key)
	if !c.mayGrant(t, p.record) {
		return
	}
	held := c.table.records[p.record.key]
	switch {
	case held.live() && held.claim != p.record.claim:
		c.answer(t, p.asker, p.record, held)
	case held != nil && held.claim == p.record.claim:
		c.askedAgain(t, p.asker, held)
	default:
		c.grantTo(t, p.asker, p.record, p.generation)
	}
}

// grantTo records the grant. The asker learns of it once a deputy has the
// record too.
func (c *Controller) grantTo(t *core.Turn, asker model.NodeID, r *record, generation uint64) {
	if held := c.table.records[r.key]; held != nil {
		generation = max(generation, held.generation)
	} else if c.table.full() {
		return
	}
	granted := &record{
		key: r.key, digest: r.digest, claim: r.claim, service: r.service,
		state: stateProgress, generation: generation + 1,
	}
	c.table.put(granted, t.Now)
	g := &grant{record: granted, asker: asker, since: t.Now}
	c.grants[r.key] = g
	c.push(t)
	c.completeGrant(t, g)
}

// completeGrant answers the asker if a deputy has the record.
func (c *Controller) completeGrant(t *core.Turn, g *grant) {
	if c.grants[g.record.key] != g || !c.mayGrant(t, g.record) || !c.backed(t, g) {
		return
	}
	delete(c.grants, g.record.key)
	if g.record.state == stateProgress {
		c.answer(t, g.asker, g.record, g.record)
	}
}

// backed reports whether a candidate besides this node has the grant, or
// there is none.
func (c *Controller) backed(t *core.Turn, g *grant) bool {
	others := 0
	for _, cand := range ranked(t, g.record.service, g.record.key) {
		if cand.Member.Node == t.Board.Self.Member.Node {
			continue
		}
		others++
		if g.record.copies[replica{cand.Member.Node, cand.Member.Incarnation}] == g.record.version {
			return true
		}
	}
	return others == 0
}

// retryGrants completes grants whose deputy has changed and drops those that
// were replaced.
func (c *Controller) retryGrants(t *core.Turn) {
	for _, key := range sortedKeys(c.grants) {
		g := c.grants[key]
		if c.table.records[key] != g.record {
			delete(c.grants, key)
			continue
		}
		c.completeGrant(t, g)
	}
}

// cession is a key that another owner probed.
type cession struct {
	to model.NodeID
	at time.Time
}

// cede remembers that another owner probed the key. It matters only where this
// node owns the key too, because their views differ.
func (c *Controller) cede(t *core.Turn, service model.ServiceID, key keyHash, to model.NodeID) {
	if own, ok := owner(t, service, key); !ok || own != t.Board.Self.Member.Node {
		return
	}
	if len(c.ceded) >= maxCeded {
		clear(c.ceded)
		c.leaseSince = t.Now // probe for every key
	}
	c.ceded[key] = cession{to, t.Now}
}

func (c *Controller) expireCeded(now time.Time) {
	for key, ceded := range c.ceded {
		if now.Sub(ceded.at) >= cededRetention {
			delete(c.ceded, key)
		}
	}
}

func sortedKeys[V any](m map[keyHash]V) []keyHash {
	keys := make([]keyHash, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b keyHash) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
