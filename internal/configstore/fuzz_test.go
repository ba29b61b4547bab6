package configstore

import (
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// FuzzSnapshot checks that any contents of the store are either rejected or
// decoded as objects that match their keys.
func FuzzSnapshot(f *testing.F) {
	c := New(nil, "test")
	f.Fuzz(func(t *testing.T, version []byte, name string, object []byte) {
		key := c.keys.objects() + name
		snapshot, _, err := c.decodeSnapshot(store.TxnResult{Ranges: []store.RangeResult{
			{KVs: []store.KeyValue{{Key: c.keys.version(), Value: version}}},
			{KVs: []store.KeyValue{{Key: key, Value: object}}},
		}}, 0)
		if err != nil {
			return
		}
		for _, o := range snapshot.Objects {
			if c.keys.object(o.Key) != key || checkObject(&o) != nil {
				t.Fatalf("key %q decoded as %+v", key, o)
			}
		}
	})
}

// FuzzRecords checks that records are either rejected or all decoded.
func FuzzRecords(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second []byte) {
		kvs := []store.KeyValue{{Key: "1", Value: first}, {Key: "2", Value: second}}
		records, err := decodeRecords(store.RangeResult{KVs: kvs})
		if err == nil && len(records) != len(kvs) {
			t.Fatalf("%d records of %d", len(records), len(kvs))
		}
	})
}
