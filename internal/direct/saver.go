package direct

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// saver saves an agent's open flows in the store for the agent's next process.
type saver struct {
	store        store.PollingStore
	key          string
	currentFlows func() steering.SavedFlows
	restore      func(steering.Event)
	warn         func(string, error)

	saved steering.SavedFlows
}

// savedDocument is the stored form of the saved flows.
type savedDocument struct {
	Incarnation int64  `json:"lifetime"`
	Final       bool   `json:"final,omitempty"`
	Agents      uint16 `json:"agents,omitempty"`
	// Era is that of the store when the document was written, 0 if it was written by an
	// earlier version.
	Era   uint64          `json:"era,omitempty"`
	Flows []savedFlowItem `json:"flows"`
}

type savedFlowItem struct {
	Caller   netip.AddrPort `json:"c"`
	Address  netip.AddrPort `json:"a"`
	Ack      uint32         `json:"k"`
	HalfOpen bool           `json:"o,omitempty"`
	// NonIdempotent is as in steering.SavedFlow.
	NonIdempotent bool `json:"u,omitempty"`
}

func encodeSaved(saved *steering.SavedFlows, era uint64) ([]byte, error) {
	doc := savedDocument{Incarnation: saved.Incarnation, Final: saved.Final, Agents: saved.Agents, Era: era, Flows: make([]savedFlowItem, 0, len(saved.Flows))}
	for _, f := range saved.Flows {
		doc.Flows = append(doc.Flows, savedFlowItem{f.Flow.Caller.AddrPort(), f.Flow.Address.AddrPort(), f.Ack, f.HalfOpen, f.NonIdempotent})
	}
	return json.Marshal(doc)
}

var errNotIPv4 = errors.New("a saved flow has an address that is not IPv4")

// decodeSaved decodes the flows as read in an era of the store. Those of an earlier era
// are not final: the store has lost what was written after them.
func decodeSaved(value []byte, era uint64) (*steering.SavedFlows, error) {
	var doc savedDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	final := doc.Final && max(doc.Era, store.FirstEra) == era
	out := &steering.SavedFlows{Incarnation: doc.Incarnation, Final: final, Agents: doc.Agents}
	for _, f := range doc.Flows {
		caller, callerOK := steering.EndpointOf(f.Caller)
		address, addressOK := steering.EndpointOf(f.Address)
		if !callerOK || !addressOK {
			return nil, errNotIPv4
		}
		flow := steering.Flow{Caller: caller, Address: address}
		out.Flows = append(out.Flows, steering.SavedFlow{Flow: flow, Ack: f.Ack, HalfOpen: f.HalfOpen, NonIdempotent: f.NonIdempotent})
	}
	return out, nil
}

// load restores the flows of an earlier process. A failed read is not retried,
// as the flows are useless later.
func (s *saver) load(ctx context.Context) {
	kv, found, err := s.store.Get(ctx, s.key)
	if err != nil {
		s.warn("The saved flows can't be read.", err)
		return
	}
	if !found {
		return
	}
	flows, err := decodeSaved(kv.Value, kv.ModRevision.Era())
	if err != nil {
		s.warn("The saved flows are malformed.", err)
		return
	}
	s.saved = *flows
	s.saved.Final = false
	if flows.Final {
		// From now on the saved flows are incomplete for any later reader.
		if err := s.write(ctx, &s.saved, kv.Lease); err != nil {
			s.warn("The saved flows can't be marked as used.", err)
			flows.Final = false
		}
	}
	s.restore(flows)
}

// save writes the flows under a lease if the saved ones are out of date, and
// reports whether it called the store. The next save makes up for a failed one.
func (s *saver) save(ctx context.Context, lease store.LeaseID) (called bool, err error) {
	flows := s.currentFlows()
	if s.saved.IsUpToDate(&flows) {
		return false, nil
	}
	if err := s.write(ctx, &flows, lease); err != nil {
		return true, err
	}
	s.saved = flows
	return true, nil
}

// forgetSaved makes the next save write the flows even if they have not changed.
func (s *saver) forgetSaved() { s.saved = steering.SavedFlows{} }

func (s *saver) write(ctx context.Context, flows *steering.SavedFlows, lease store.LeaseID) error {
	value, err := encodeSaved(flows, s.store.Era())
	if err != nil {
		return err
	}
	return s.store.Put(ctx, store.Put{Key: s.key, Value: value, Lease: lease})
}
