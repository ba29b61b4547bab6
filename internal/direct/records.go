package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

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
}

func encodeServed(r *steering.AgentRecord, era uint64) ([]byte, error) {
	return json.Marshal(servedDocument{recordDocument(*r), era})
}

// decodeServed decodes the served incarnation and the era in which it was written.
func decodeServed(value []byte) (steering.AgentRecord, uint64, error) {
	record, err := decodeRecord(value)
	if err != nil {
		return record, 0, err
	}
	var doc servedDocument
	err = json.Unmarshal(value, &doc)
	return record, max(doc.Era, store.FirstEra), err
}

var errIncomplete = errors.New("node or peer is missing")

func encodeRecord(r *steering.AgentRecord) ([]byte, error) {
	return json.Marshal(recordDocument(*r))
}

func decodeRecord(value []byte) (steering.AgentRecord, error) {
	var doc recordDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return steering.AgentRecord{}, err
	}
	if doc.Node == "" || !doc.Peer.IsValid() {
		return steering.AgentRecord{}, errIncomplete
	}
	return steering.AgentRecord(doc), nil
}

// decodeRecords decodes the agents' records, whose keys start with the prefix.
// It skips malformed ones and returns their errors.
func decodeRecords(prefix string, items []store.KeyValue) ([]steering.AgentRecord, []error) {
	records := make([]steering.AgentRecord, 0, len(items))
	var errs []error
	for _, kv := range items {
		if !strings.HasPrefix(kv.Key, prefix) {
			continue
		}
		r, err := decodeRecord(kv.Value)
		if err != nil {
			errs = append(errs, fmt.Errorf("record %s: %w", kv.Key, err))
			continue
		}
		records = append(records, r)
	}
	return records, errs
}
