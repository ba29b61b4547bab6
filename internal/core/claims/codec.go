package claims

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// truncateDigest returns the part of a request's digest that messages carry.
func truncateDigest(d core.RequestDigest) uint64 { return binary.BigEndian.Uint64(d[:8]) }

func encodeClaimID(id claimID) *claimpb.ClaimID {
	return &claimpb.ClaimID{Node: string(id.node), Incarnation: id.incarnation, Request: uint64(id.request)}
}

func decodeClaimID(m *claimpb.ClaimID) claimID {
	return claimID{
		node:        model.NodeID(m.GetNode()),
		incarnation: m.GetIncarnation(),
		request:     core.RequestID(m.GetRequest()),
	}
}

func encodeRecord(r *record) *claimpb.Record {
	return &claimpb.Record{
		Key: r.key[:], Digest: r.digest, Claim: encodeClaimID(r.claim),
		State: r.state, Status: uint32(r.status), Generation: r.generation,
	}
}

// decodeRecord returns nil for an absent or malformed record.
func decodeRecord(service model.ServiceID, m *claimpb.Record) *record {
	if m == nil || len(m.Key) != len(keyHash{}) || m.State == claimpb.State_STATE_UNSPECIFIED {
		return nil
	}
	return &record{
		key: keyHash(m.Key), digest: m.Digest, claim: decodeClaimID(m.Claim), state: m.State,
		status: int(m.Status), generation: m.Generation, service: service,
	}
}

// sendMessage sends a message to another agent, if its address is known.
func (c *Controller) sendMessage(t *core.Turn, service model.ServiceID, to model.NodeID, m *claimpb.Message) {
	member, ok := t.Board.Members.Records[to]
	if !ok || !member.DataAddr.IsValid() {
		return
	}
	m.From = string(t.Board.Self.Member.Node)
	m.Incarnation = t.Board.Self.Member.Incarnation
	payload, err := proto.Marshal(m)
	if err != nil {
		t.Emit(core.Count{Name: "claim_encode_failed", Delta: 1})
		return
	}
	t.Emit(core.SendDatagram{
		To:      member.DataAddr,
		Header:  wire.Header{Kind: wire.KindClaim, Service: service},
		Payload: payload,
	})
}

// handleMessage decodes a message and dispatches it. Messages of process
// instances that have been replaced, or are not known yet, are ignored: senders
// retry.
func (c *Controller) handleMessage(t *core.Turn, ev core.DatagramReceived) {
	var m claimpb.Message
	if err := proto.Unmarshal(ev.Payload, &m); err != nil {
		t.Emit(core.Count{Name: "claim_malformed", Delta: 1})
		return
	}
	from := replica{model.NodeID(m.From), m.Incarnation}
	member, ok := t.Board.Members.Records[from.node]
	if !ok || member.Incarnation != from.incarnation {
		t.Emit(core.Count{Name: "claim_unknown_sender", Delta: 1})
		return
	}
	service := ev.Header.Service
	switch body := m.Body.(type) {
	case *claimpb.Message_Ask:
		if r := decodeRecord(service, body.Ask.Record); r != nil {
			c.handleQuery(t, from.node, r)
		}
	case *claimpb.Message_Answer:
		c.handleReply(t, decodeClaimID(body.Answer.Claim), decodeRecord(service, body.Answer.Record))
	case *claimpb.Message_Probe:
		c.handleProbe(t, service, from.node, body.Probe)
	case *claimpb.Message_ProbeReply:
		c.handleProbeReply(t, service, from.node, body.ProbeReply)
	case *claimpb.Message_Push:
		c.handlePush(t, service, from, body.Push)
	case *claimpb.Message_PushAck:
		c.handlePushAck(t, from, body.PushAck.Batch)
	}
}
