package store

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

func encodeRange(r Range) etcdjson.RangeRequest {
	return etcdjson.RangeRequest{
		Key:            []byte(r.Key),
		RangeEnd:       []byte(r.End),
		Limit:          int64(r.Limit),
		MinModRevision: minModRevision(r.After),
	}
}

// minModRevision returns the lowest revision that is read, 0 for all.
func minModRevision(after Revision) int64 {
	if after.IsZero() {
		return 0
	}
	return after.Number() + 1
}

// etcdRevision returns a revision that etcd has told.
func etcdRevision(number int64) Revision { return revision.New(FirstEra, number) }

// encodeTxn encodes a transaction and reports whether it writes.
func encodeTxn(t Txn) (etcdjson.TxnRequest, bool) {
	var out etcdjson.TxnRequest
	for _, c := range t.Compares {
		out.Compare = append(out.Compare, etcdjson.Compare{
			Result:      etcdjson.CompareEqual,
			Target:      etcdjson.CompareMod,
			Key:         []byte(c.Key),
			ModRevision: c.ModRevision.Number(),
		})
	}
	writes := false
	for _, op := range t.Ops {
		encoded := encodeOp(op)
		writes = writes || encoded.Range == nil
		out.Success = append(out.Success, encoded)
	}
	return out, writes
}

func encodeOp(op Op) etcdjson.RequestOp {
	switch op := op.(type) {
	case Range:
		r := encodeRange(op)
		return etcdjson.RequestOp{Range: &r}
	case Put:
		return etcdjson.RequestOp{Put: &etcdjson.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}}
	case Delete:
		return etcdjson.RequestOp{DeleteRange: &etcdjson.DeleteRangeRequest{Key: []byte(op.Key)}}
	}
	panic(fmt.Sprintf("store: unknown operation %T", op))
}

// decodeRange takes the header separately, because range responses within a
// transaction may omit it.
func decodeRange(response *etcdjson.RangeResponse, header etcdjson.Header) RangeResult {
	result := RangeResult{Revision: etcdRevision(header.Revision)}
	for _, kv := range response.Kvs {
		result.KVs = append(result.KVs, decodeKeyValue(kv))
	}
	return result
}

func decodeKeyValue(kv etcdjson.KeyValue) KeyValue {
	return KeyValue{
		Key:         string(kv.Key),
		Value:       kv.Value,
		ModRevision: etcdRevision(kv.ModRevision),
		Lease:       LeaseID(kv.Lease),
	}
}

func decodeTxn(t Txn, response *etcdjson.TxnResponse) (TxnResult, error) {
	result := TxnResult{Revision: etcdRevision(response.Header.Revision)}
	if len(response.Responses) != len(t.Ops) {
		return TxnResult{}, fmt.Errorf("%d responses to %d operations", len(response.Responses), len(t.Ops))
	}
	for i, op := range t.Ops {
		if _, ok := op.(Range); !ok {
			continue
		}
		rangeResponse := response.Responses[i].Range
		if rangeResponse == nil {
			return TxnResult{}, fmt.Errorf("operation %d has no range response", i)
		}
		result.Ranges = append(result.Ranges, decodeRange(rangeResponse, response.Header))
	}
	return result, nil
}
