package store

import (
	"cmp"
	"errors"
	"slices"
	"sort"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// Limits of a request, as in etcd.
const (
	// maxTxnOps is the number of operations in one branch of a transaction.
	maxTxnOps = 128
	// maxRequestBytes bounds a request's body.
	maxRequestBytes = 1_500_000
)

// maxEvents is the number of past events that a watch can start from.
const maxEvents = 10_000

// Errors of transactions, in etcd's words.
var (
	errTooManyOps    = errors.New("etcdserver: too many operations in txn request")
	errDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
	errLeaseNotFound = errors.New("etcdserver: requested lease not found")
	errEmptyKey      = errors.New("etcdserver: key is not provided")
	errUnsupported   = errors.New("etcdserver: the stand-in does not support this request")
)

// event is a change of one key.
type event struct {
	revision int64
	event    etcdjson.Event
}

// memory is the key space with its history. It is not safe for concurrent
// use.
type memory struct {
	revision int64
	keys     []string // sorted
	pairs    map[string]etcdjson.KeyValue
	leases   map[int64]*lease
	// lastLease is the identity of the newest lease.
	lastLease int64
	events    []event
	// compacted is the newest revision whose events are no longer held.
	compacted int64
}

func newMemory() *memory {
	return &memory{
		revision: 1,
		pairs:    make(map[string]etcdjson.KeyValue),
		leases:   make(map[int64]*lease),
	}
}

func (m *memory) header() etcdjson.Header { return etcdjson.Header{Revision: m.revision} }

// span returns the indexes of the keys in a range. As in etcd, an empty end
// is the key alone, and a zero byte has no upper end.
func (m *memory) span(key, end []byte) (int, int) {
	first := sort.SearchStrings(m.keys, string(key))
	switch string(end) {
	case "":
		if first < len(m.keys) && m.keys[first] == string(key) {
			return first, first + 1
		}
		return first, first
	case "\x00":
		return first, len(m.keys)
	}
	return first, max(first, sort.SearchStrings(m.keys, string(end)))
}

func (m *memory) readRange(r *etcdjson.RangeRequest) *etcdjson.RangeResponse {
	response := &etcdjson.RangeResponse{Header: m.header()}
	first, last := m.span(r.Key, r.RangeEnd)
	for _, key := range m.keys[first:last] {
		pair := m.pairs[key]
		if pair.ModRevision < r.MinModRevision {
			continue
		}
		response.Count++
		if r.Limit > 0 && int64(len(response.Kvs)) == r.Limit {
			response.More = true
			continue
		}
		response.Kvs = append(response.Kvs, pair)
	}
	return response
}

// checkTxn refuses what etcd refuses.
func (m *memory) checkTxn(t *etcdjson.TxnRequest) error {
	if max(len(t.Compare), len(t.Success), len(t.Failure)) > maxTxnOps {
		return errTooManyOps
	}
	for _, c := range t.Compare {
		if c.Target != etcdjson.CompareMod || c.Result != etcdjson.CompareEqual {
			return errUnsupported
		}
	}
	return cmp.Or(m.checkOps(t.Success), m.checkOps(t.Failure))
}

func (m *memory) checkOps(ops []etcdjson.RequestOp) error {
	put := make(map[string]bool)
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		key := string(op.Put.Key)
		switch {
		case key == "":
			return errEmptyKey
		case put[key]:
			return errDuplicateKey
		case op.Put.Lease != 0 && m.leases[op.Put.Lease] == nil:
			return errLeaseNotFound
		}
		put[key] = true
	}
	return nil
}

// txn runs a checked transaction and reports whether it wrote.
func (m *memory) txn(t *etcdjson.TxnRequest) (*etcdjson.TxnResponse, bool) {
	response := &etcdjson.TxnResponse{Succeeded: true}
	for _, c := range t.Compare {
		if m.pairs[string(c.Key)].ModRevision != c.ModRevision {
			response.Succeeded = false
		}
	}
	ops := t.Failure
	if response.Succeeded {
		ops = t.Success
	}
	next := m.revision + 1
	wrote := false
	for _, op := range ops {
		answer, changed := m.apply(op, next)
		response.Responses = append(response.Responses, answer)
		wrote = wrote || changed
	}
	if wrote {
		m.revision = next
	}
	response.Header = m.header()
	return response, wrote
}

// apply runs one operation, whose write gets the revision.
func (m *memory) apply(op etcdjson.RequestOp, revision int64) (etcdjson.ResponseOp, bool) {
	switch {
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: m.readRange(op.Range)}, false
	case op.Put != nil:
		m.put(op.Put, revision)
		return etcdjson.ResponseOp{Put: &etcdjson.PutResponse{}}, true
	case op.DeleteRange != nil:
		deleted := m.deleteRange(op.DeleteRange.Key, op.DeleteRange.RangeEnd, revision)
		return etcdjson.ResponseOp{DeleteRange: &etcdjson.DeleteRangeResponse{Deleted: deleted}}, deleted > 0
	}
	return etcdjson.ResponseOp{}, false
}

func (m *memory) put(p *etcdjson.PutRequest, revision int64) {
	key := string(p.Key)
	pair, exists := m.pairs[key]
	if !exists {
		pair.Key = p.Key
		pair.CreateRevision = revision
		index, _ := slices.BinarySearch(m.keys, key)
		m.keys = slices.Insert(m.keys, index, key)
	}
	m.detach(pair.Lease, key)
	pair.Value = p.Value
	pair.Lease = p.Lease
	pair.ModRevision = revision
	pair.Version++
	m.pairs[key] = pair
	m.attach(p.Lease, key)
	m.record(revision, etcdjson.Event{Kv: pair})
}

func (m *memory) deleteRange(key, end []byte, revision int64) int64 {
	first, last := m.span(key, end)
	for _, k := range m.keys[first:last] {
		m.detach(m.pairs[k].Lease, k)
		delete(m.pairs, k)
		gone := etcdjson.KeyValue{Key: []byte(k), ModRevision: revision}
		m.record(revision, etcdjson.Event{Type: etcdjson.EventDelete, Kv: gone})
	}
	m.keys = slices.Delete(m.keys, first, last)
	return int64(last - first)
}

// record keeps an event for watches and forgets the oldest ones.
func (m *memory) record(revision int64, e etcdjson.Event) {
	m.events = append(m.events, event{revision, e})
	if len(m.events) <= 2*maxEvents {
		return
	}
	m.compacted = m.events[maxEvents-1].revision
	m.events = slices.Clone(m.events[maxEvents:])
}

// eventsFrom returns the events of a key range from a revision on.
func (m *memory) eventsFrom(key, end []byte, revision int64) []etcdjson.Event {
	first := sort.Search(len(m.events), func(i int) bool { return m.events[i].revision >= revision })
	var out []etcdjson.Event
	for _, e := range m.events[first:] {
		if inRange(e.event.Kv.Key, key, end) {
			out = append(out, e.event)
		}
	}
	return out
}

func inRange(k, key, end []byte) bool {
	if len(end) == 0 {
		return string(k) == string(key)
	}
	return string(k) >= string(key) && (string(end) == "\x00" || string(k) < string(end))
}
