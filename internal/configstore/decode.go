package configstore

import (
	"encoding/json"
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// decodeVersion returns the version from a range over its key, 0 if the key does
// not exist.
func decodeVersion(r store.RangeResult) (uint64, error) {
	if len(r.KVs) == 0 {
		return 0, nil
	}
	v, err := parseVersion(r.KVs[0].Value)
	if err != nil {
		return 0, &CorruptError{r.KVs[0].Key, err}
	}
	return v, nil
}

// decodeObjects returns the objects in a range result that changed after a
// version.
func (k keys) decodeObjects(r store.RangeResult, since uint64) ([]model.Object, error) {
	var out []model.Object
	for _, kv := range r.KVs {
		o, err := k.decodeObject(kv)
		if err != nil {
			return nil, &CorruptError{kv.Key, err}
		}
		if o.Version > since {
			out = append(out, o)
		}
	}
	return out, nil
}

func (k keys) decodeObject(kv store.KeyValue) (model.Object, error) {
	var o model.Object
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return o, err
	}
	key, err := k.parseObjectKey(kv.Key)
	if err != nil {
		return o, err
	}
	if o.Key != key {
		return o, fmt.Errorf("value is that of %s %q", o.Key.Kind, o.Key.Name)
	}
	return o, checkObject(&o)
}

// decodeRecords returns the history records in a range result.
func decodeRecords(r store.RangeResult) ([]Record, error) {
	var out []Record
	for _, kv := range r.KVs {
		var record Record
		if err := json.Unmarshal(kv.Value, &record); err != nil {
			return nil, &CorruptError{kv.Key, err}
		}
		out = append(out, record)
	}
	return out, nil
}
