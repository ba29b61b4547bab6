package direct

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// saveInterval is how often an agent saves its flows if they have changed.
// Callers keep flows for several seconds; a shorter one costs calls.
const saveInterval = 5 * time.Second

// saver keeps an agent's open flows in the store for its next process.
type saver struct {
	store   store.Polled
	key     string
	ttl     time.Duration
	flows   func() steering.SavedFlows
	restore func(steering.Event)
	warn    func(string, error)

	saved   steering.SavedFlows
	lease   store.LeaseID
	renewed time.Time
}

// savedDocument is the saved flows as they stand in the store.
type savedDocument struct {
	Lifetime int64           `json:"lifetime"`
	Flows    []savedFlowItem `json:"flows"`
}

type savedFlowItem struct {
	Caller  netip.AddrPort `json:"c"`
	Address netip.AddrPort `json:"a"`
	Ack     uint32         `json:"k"`
}

func encodeSaved(s *steering.SavedFlows) ([]byte, error) {
	doc := savedDocument{Lifetime: s.Lifetime, Flows: make([]savedFlowItem, 0, len(s.Flows))}
	for _, f := range s.Flows {
		doc.Flows = append(doc.Flows, savedFlowItem{f.Flow.Caller.AddrPort(), f.Flow.Address.AddrPort(), f.Ack})
	}
	return json.Marshal(doc)
}

var errNotIPv4 = errors.New("a saved flow is not of IPv4")

func decodeSaved(value []byte) (*steering.SavedFlows, error) {
	var doc savedDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	out := &steering.SavedFlows{Lifetime: doc.Lifetime}
	for _, f := range doc.Flows {
		caller, ok := steering.EndpointOf(f.Caller)
		address, ok2 := steering.EndpointOf(f.Address)
		if !ok || !ok2 {
			return nil, errNotIPv4
		}
		out.Flows = append(out.Flows, steering.SavedFlow{Flow: steering.Flow{Caller: caller, Address: address}, Ack: f.Ack})
	}
	return out, nil
}

// run reads the flows that an earlier process left and saves those of this one
// until the context ends.
func (v *saver) run(ctx context.Context) {
	v.load(ctx)
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.save(ctx)
		}
	}
}

// load reads the flows of an earlier process once: later they are of no use.
func (v *saver) load(ctx context.Context) {
	kv, found, err := v.store.Get(ctx, v.key, false)
	if err != nil {
		v.warn("The saved flows can't be read.", err)
		return
	}
	if !found {
		return
	}
	v.lease = kv.Lease
	s, err := decodeSaved(kv.Value)
	if err != nil {
		v.warn("The saved flows can't be understood.", err)
		return
	}
	v.saved = *s
	v.restore(s)
}

// save writes the flows if the saved ones no longer do. A failed call is made
// up for by the next.
func (v *saver) save(ctx context.Context) {
	now := v.flows()
	if v.saved.Covers(&now) {
		return
	}
	if err := v.put(ctx, &now); err != nil {
		v.warn("The flows could not be saved.", err)
		return
	}
	v.saved = now
}

// extend renews the lease if it is time, or takes a new one.
func (v *saver) extend(ctx context.Context) error {
	if v.lease != 0 && time.Since(v.renewed) <= v.ttl/renewals {
		return nil
	}
	err := store.ErrLeaseLapsed
	if v.lease != 0 {
		err = v.store.KeepAlive(ctx, v.lease)
	}
	if errors.Is(err, store.ErrLeaseLapsed) {
		v.lease, err = v.store.Grant(ctx, v.ttl)
	}
	if err == nil {
		v.renewed = time.Now()
	}
	return err
}

func (v *saver) put(ctx context.Context, s *steering.SavedFlows) error {
	value, err := encodeSaved(s)
	if err != nil {
		return err
	}
	if err := v.extend(ctx); err != nil {
		return err
	}
	err = v.store.Put(ctx, store.Put{Key: v.key, Value: value, Lease: v.lease})
	if errors.Is(err, store.ErrLeaseLapsed) {
		v.lease = 0
	}
	return err
}
