package direct

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// saver saves an agent's open flows in the store for the agent's next process.
type saver struct {
	store        store.PollingStore
	entry        entry
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
	// SavedAtNs is steering.SavedFlows.SavedAt, in nanoseconds, SavedTimeMs is SavedTime, in
	// Unix milliseconds.
	SavedAtNs   int64 `json:"saved_at_ns,omitempty"`
	SavedTimeMs int64 `json:"saved_time_ms,omitempty"`
	// RegistrationEra and RegistrationNumber are the revision of the agent's served entry when
	// the document was written. PackedRegistration is the same as earlier versions write and
	// read it, 0 if it does not fit.
	RegistrationEra    uint64          `json:"registration_era,omitempty"`
	RegistrationNumber int64           `json:"registration_rev,omitempty"`
	PackedRegistration uint64          `json:"registration,omitempty"`
	Flows              []savedFlowItem `json:"flows"`
}

// registration returns the revision of the agent's served entry when the document was written.
func (d *savedDocument) registration() revision.Revision {
	if d.RegistrationEra == 0 {
		return revision.Unpack(d.PackedRegistration)
	}
	return revision.New(d.RegistrationEra, d.RegistrationNumber)
}

type savedFlowItem struct {
	Caller   netip.AddrPort `json:"c"`
	Address  netip.AddrPort `json:"a"`
	Ack      uint32         `json:"k"`
	HalfOpen bool           `json:"o,omitempty"`
	// NonIdempotent is as in steering.SavedFlow.
	NonIdempotent bool `json:"u,omitempty"`
}

func encodeSaved(saved *steering.SavedFlows, registration store.Revision) ([]byte, error) {
	packed, _ := registration.Pack()
	doc := savedDocument{
		Incarnation: saved.Incarnation, Final: saved.Final, Agents: saved.Agents,
		SavedAtNs: saved.SavedAt.Nanoseconds(), SavedTimeMs: saved.SavedTime.UnixMilli(),
		RegistrationEra: registration.Era(), RegistrationNumber: registration.Number(), PackedRegistration: packed,
		Flows: make([]savedFlowItem, 0, len(saved.Flows)),
	}
	for _, f := range saved.Flows {
		doc.Flows = append(doc.Flows, savedFlowItem{f.Flow.Caller.AddrPort(), f.Flow.Address.AddrPort(), f.Ack, f.HalfOpen, f.NonIdempotent})
	}
	return json.Marshal(doc)
}

var errNotIPv4 = errors.New("a saved flow has an address that is not IPv4")

// decodeSaved decodes the flows as read when the agent's served entry has a revision. They
// are not final if another process has registered since they were written, or if the store
// may have lost that.
func decodeSaved(value []byte, registration store.Revision) (*steering.SavedFlows, error) {
	var doc savedDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	final := doc.Final && !registration.IsZero() && doc.registration() == registration
	out := &steering.SavedFlows{
		Incarnation: doc.Incarnation, Final: final, SavedAt: time.Duration(doc.SavedAtNs), SavedTime: time.UnixMilli(doc.SavedTimeMs),
		Agents: doc.Agents,
	}
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
func (s *saver) load(ctx context.Context, served *entry) {
	kv, found, err := s.entry.get(ctx, s.store)
	if err != nil {
		s.warn("The saved flows can't be read.", err)
		return
	}
	if !found {
		return
	}
	flows, err := decodeSaved(kv.Value, served.revision)
	if err != nil {
		s.warn("The saved flows are malformed.", err)
		return
	}
	s.saved = *flows
	s.restore(flows)
}

// save writes the flows under a lease if the saved ones are out of date, and
// reports whether it called the store. The next save makes up for a failed one.
func (s *saver) save(ctx context.Context, lease store.LeaseID, served *entry) (called bool, err error) {
	flows := s.currentFlows()
	if s.saved.IsUpToDate(&flows) {
		return false, nil
	}
	if err := s.write(ctx, &flows, lease, served); err != nil {
		return true, err
	}
	s.saved = flows
	return true, nil
}

// forgetSaved makes the next save write the flows even if they have not changed.
func (s *saver) forgetSaved() { s.saved = steering.SavedFlows{} }

func (s *saver) write(ctx context.Context, flows *steering.SavedFlows, lease store.LeaseID, served *entry) error {
	return writeIfUnchanged(ctx, s.store, []*entry{served, &s.entry}, func() ([]store.Op, error) {
		value, err := encodeSaved(flows, served.revision)
		return []store.Op{store.Put{Key: s.entry.key, Value: value, Lease: lease}}, err
	})
}
