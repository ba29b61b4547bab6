package direct

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// saver keeps an agent's open flows in the store for its next process.
type saver struct {
	store   store.Polled
	key     string
	flows   func() steering.SavedFlows
	restore func(steering.Event)
	warn    func(string, error)

	saved steering.SavedFlows
}

// savedDocument is the saved flows as they stand in the store.
type savedDocument struct {
	Lifetime int64           `json:"lifetime"`
	Final    bool            `json:"final,omitempty"`
	Agents   uint16          `json:"agents,omitempty"`
	Flows    []savedFlowItem `json:"flows"`
}

type savedFlowItem struct {
	Caller  netip.AddrPort `json:"c"`
	Address netip.AddrPort `json:"a"`
	Ack     uint32         `json:"k"`
	Opening bool           `json:"o,omitempty"`
	// Unrepeatable is as in steering.SavedFlow.
	Unrepeatable bool `json:"u,omitempty"`
}

func encodeSaved(s *steering.SavedFlows) ([]byte, error) {
	doc := savedDocument{Lifetime: s.Incarnation, Final: s.Final, Agents: s.Agents, Flows: make([]savedFlowItem, 0, len(s.Flows))}
	for _, f := range s.Flows {
		doc.Flows = append(doc.Flows, savedFlowItem{f.Flow.Caller.AddrPort(), f.Flow.Address.AddrPort(), f.Ack, f.Opening, f.NonIdempotent})
	}
	return json.Marshal(doc)
}

var errNotIPv4 = errors.New("a saved flow is not of IPv4")

func decodeSaved(value []byte) (*steering.SavedFlows, error) {
	var doc savedDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	out := &steering.SavedFlows{Incarnation: doc.Lifetime, Final: doc.Final, Agents: doc.Agents}
	for _, f := range doc.Flows {
		caller, ok := steering.EndpointOf(f.Caller)
		address, ok2 := steering.EndpointOf(f.Address)
		if !ok || !ok2 {
			return nil, errNotIPv4
		}
		flow := steering.Flow{Caller: caller, Address: address}
		out.Flows = append(out.Flows, steering.SavedFlow{Flow: flow, Ack: f.Ack, Opening: f.Opening, NonIdempotent: f.Unrepeatable})
	}
	return out, nil
}

// load reads the flows of an earlier process once: later they are of no use.
func (v *saver) load(ctx context.Context) {
	kv, found, err := v.store.Get(ctx, v.key)
	if err != nil {
		v.warn("The saved flows can't be read.", err)
		return
	}
	if !found {
		return
	}
	s, err := decodeSaved(kv.Value)
	if err != nil {
		v.warn("The saved flows can't be understood.", err)
		return
	}
	v.saved = *s
	v.saved.Final = false
	if s.Final {
		// From now on the saved flows are no longer all, whoever reads them.
		if err := v.put(ctx, &v.saved, kv.Lease); err != nil {
			v.warn("The saved flows can't be marked as used.", err)
			s.Final = false
		}
	}
	v.restore(s)
}

// save writes the flows under a lease if the saved ones no longer do, and reports
// whether the store was called. A failed call is made up for by the next.
func (v *saver) save(ctx context.Context, lease store.LeaseID) (called bool, err error) {
	now := v.flows()
	if v.saved.Covers(&now) {
		return false, nil
	}
	if err := v.put(ctx, &now, lease); err != nil {
		return true, err
	}
	v.saved = now
	return true, nil
}

func (v *saver) put(ctx context.Context, s *steering.SavedFlows, lease store.LeaseID) error {
	value, err := encodeSaved(s)
	if err != nil {
		return err
	}
	return v.store.Put(ctx, store.Put{Key: v.key, Value: value, Lease: lease})
}
