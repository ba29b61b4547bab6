package store

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

func encodeRange(r Range) etcdjson.RangeRequest {
	return etcdjson.RangeRequest{
		Key:            []byte(r.Key),
		RangeEnd:       []byte(r.End),
		Limit:          int64(r.Limit),
		MinModRevision: int64(r.MinModRevision),
	}
}

// encodeTxn also reports whether the transaction writes.
func encodeTxn(t Txn) (etcdjson.TxnRequest, bool) {
	var out etcdjson.TxnRequest
	for _, c := range t.Compares {
		out.Compare = append(out.Compare, etcdjson.Compare{
			Result:      etcdjson.CompareEqual,
			Target:      etcdjson.CompareMod,
			Key:         []byte(c.Key),
			ModRevision: int64(c.ModRevision),
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

// decodeRange takes the header apart, because the answers inside of a
// transaction may leave it out.
func decodeRange(answer *etcdjson.RangeResponse, header etcdjson.Header) RangeResult {
	result := RangeResult{Revision: Revision(header.Revision)}
	for _, kv := range answer.Kvs {
		result.KVs = append(result.KVs, decodeKeyValue(kv))
	}
	return result
}

func decodeKeyValue(kv etcdjson.KeyValue) KeyValue {
	return KeyValue{
		Key:         string(kv.Key),
		Value:       kv.Value,
		ModRevision: Revision(kv.ModRevision),
		Lease:       LeaseID(kv.Lease),
	}
}

func decodeTxn(t Txn, answer *etcdjson.TxnResponse) (TxnResult, error) {
	result := TxnResult{Revision: Revision(answer.Header.Revision)}
	if len(answer.Responses) != len(t.Ops) {
		return TxnResult{}, fmt.Errorf("%d answers to %d operations", len(answer.Responses), len(t.Ops))
	}
	for i, op := range t.Ops {
		if _, ok := op.(Range); !ok {
			continue
		}
		response := answer.Responses[i].Range
		if response == nil {
			return TxnResult{}, fmt.Errorf("operation %d has no range answer", i)
		}
		result.Ranges = append(result.Ranges, decodeRange(response, answer.Header))
	}
	return result, nil
}
