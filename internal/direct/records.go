package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// recordDocument is the stored form of an agent's record.
type recordDocument struct {
	Node        string         `json:"node"`
	Domain      string         `json:"domain"`
	Service     string         `json:"service"`
	Peer        netip.AddrPort `json:"peer"`
	Incarnation int64          `json:"lifetime"`
}

// servedDocument is the stored form of the incarnation that an agent has served.
type servedDocument struct {
	recordDocument
	// Era is that of the store when the document was written, 0 if it was written by an
	// earlier version.
	Era uint64 `json:"era,omitempty"`
	// Others are the incarnations that the agent's process has served before.
	Others []int64 `json:"others,omitempty"`
	// WrittenAtNs is steering.PreviousRecord.WrittenAt, in nanoseconds, WrittenTimeMs is
	// WrittenTime, in Unix milliseconds; 0 if an earlier version wrote the document.
	WrittenAtNs   int64 `json:"written_at_ns,omitempty"`
	WrittenTimeMs int64 `json:"written_time_ms,omitempty"`
}

func encodeServed(r *steering.AgentRecord, others []int64, era uint64, writtenAt time.Duration, writtenTime time.Time) ([]byte, error) {
	return json.Marshal(servedDocument{recordDocument(*r), era, others, writtenAt.Nanoseconds(), writtenTime.UnixMilli()})
}

// decodeServed decodes what a node has served, from an entry that was last changed in an era of
// the store. It is incomplete if the document is of an earlier era: the store may have lost a
// later one.
func decodeServed(node string, value []byte, era uint64) (*steering.PreviousRecord, error) {
	record, err := decodeRecord(node, value)
	if err != nil {
		return nil, err
	}
	var doc servedDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	return &steering.PreviousRecord{
		Found: true, Record: record, Others: doc.Others, Incomplete: max(doc.Era, store.FirstEra) != era,
		WrittenAt: time.Duration(doc.WrittenAtNs), WrittenTime: time.UnixMilli(doc.WrittenTimeMs),
	}, nil
}

var (
	errOtherNode     = errors.New("it names another node than its key")
	errNoIncarnation = errors.New("the lifetime is missing")
	errPeer          = errors.New("the peer is not a unicast IPv4 address with a port")
	errNoLease       = errors.New("it has no lease")
)

func encodeRecord(r *steering.AgentRecord) ([]byte, error) {
	return json.Marshal(recordDocument(*r))
}

// decodeRecord decodes the record of a node. Another writer may have left anything.
func decodeRecord(node string, value []byte) (steering.AgentRecord, error) {
	var doc recordDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return steering.AgentRecord{}, err
	}
	switch {
	case doc.Node != node:
		return steering.AgentRecord{}, errOtherNode
	case doc.Incarnation <= 0:
		return steering.AgentRecord{}, errNoIncarnation
	case !isPeer(doc.Peer):
		return steering.AgentRecord{}, errPeer
	}
	return steering.AgentRecord(doc), nil
}

// isPeer reports whether an agent can have the address.
func isPeer(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.Is4() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}

// decodeRecords decodes the agents' records, whose keys start with the prefix, in the order in
// which they were written. It skips malformed ones and returns their errors. Agents write theirs
// under leases; an entry without one is another writer's, and would stay for ever.
func decodeRecords(prefix string, items []store.KeyValue) ([]steering.AgentRecord, []error) {
	records := make([]steering.AgentRecord, 0, len(items))
	var errs []error
	byRevision := slices.SortedFunc(slices.Values(items), func(x, y store.KeyValue) int { return x.ModRevision.Compare(y.ModRevision) })
	for _, kv := range byRevision {
		node, ok := strings.CutPrefix(kv.Key, prefix)
		if !ok {
			continue
		}
		r, err := decodeRecord(node, kv.Value)
		if err == nil && kv.Lease == 0 {
			err = errNoLease
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("record %s: %w", kv.Key, err))
			continue
		}
		records = append(records, r)
	}
	return records, errs
}
