package store

import (
	"bytes"
	"encoding/json"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// maxFuzzMessages limits the messages read from one input.
const maxFuzzMessages = 100

// FuzzTxnResponse checks that the response to a transaction is either rejected or
// complete.
func FuzzTxnResponse(f *testing.F) {
	txn := Txn{Ops: []Op{Range{Key: "a"}, Put{Key: "b"}, Prefix("c/")}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var response etcdjson.TxnResponse
		if json.Unmarshal(data, &response) != nil {
			return
		}
		result, err := decodeTxn(txn, &response)
		if err == nil && len(result.Ranges) != 2 {
			t.Fatalf("%d of 2 range results", len(result.Ranges))
		}
	})
}

// FuzzWatchStream checks that any input ends in an error and none in a panic.
func FuzzWatchStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := newWatchStream(bytes.NewReader(data), 1000)
		for range maxFuzzMessages {
			events, err := stream.next()
			if err != nil {
				return
			}
			for _, e := range events {
				decodeEvent(e)
			}
		}
	})
}

// TestDocumentedResponse decodes a response as given in etcd's documentation of
// the gateway.
func TestDocumentedResponse(t *testing.T) {
	const documented = `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"3","raft_term":"2"},` +
		`"succeeded":true,"responses":[{"response_range":{"header":{"revision":"3"},"kvs":[{"key":"Zm9v","create_revision":"2",` +
		`"mod_revision":"3","version":"2","value":"YmFy"}],"count":"1"}},{"response_put":{"header":{"revision":"3"}}}]}`
	var response etcdjson.TxnResponse
	if err := json.Unmarshal([]byte(documented), &response); err != nil {
		t.Fatal(err)
	}
	result, err := decodeTxn(Txn{Ops: []Op{Range{Key: "foo"}, Put{Key: "foo"}}}, &response)
	if err != nil {
		t.Fatal(err)
	}
	kv := result.Ranges[0].KVs[0]
	if !response.Succeeded || result.Revision != etcdRevision(3) || kv.Key != "foo" || string(kv.Value) != "bar" || kv.ModRevision != etcdRevision(3) {
		t.Errorf("got %+v", result)
	}
}
