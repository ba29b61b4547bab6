package configstore

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Limits of one change. A change is applied in one transaction of at most
// store.MaxTxnOps operations, five of which write the version and the history.
const (
	// MaxObjects is the largest number of objects in one change.
	MaxObjects = 120
	// maxChangeBytes limits the size of a change as JSON. The transaction
	// writes each object twice, under its own key and in the history.
	maxChangeBytes = 500_000
	// maxIDBytes limits the length of a change ID.
	maxIDBytes = 64
)

// HistoryLimit is the number of records kept. The transaction that writes a
// record deletes the one that is HistoryLimit versions older.
const HistoryLimit = 500

// Change is a set of objects that an operator submits together.
type Change struct {
	// ID is a unique identifier, such as a ULID. Submitting the same ID again
	// while its record is kept has no further effect.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
	// Objects are the new values; an object with only its Key set is deleted.
	// Apply sets Version.
	Objects []model.Object `json:"objects"`
}

// Record is an accepted change.
type Record struct {
	Version uint64 `json:"version"`
	Change  Change `json:"change"`
}

// check returns an error if the change cannot be stored.
func (ch *Change) check() error {
	if ch.ID == "" || len(ch.ID) > maxIDBytes || strings.Contains(ch.ID, "/") {
		return fmt.Errorf("change ID %q is invalid: expected 1 to %d bytes without a slash", ch.ID, maxIDBytes)
	}
	if len(ch.Objects) == 0 {
		return fmt.Errorf("change %s has no objects", ch.ID)
	}
	seen := make(map[model.ObjectKey]bool)
	for i := range ch.Objects {
		o := &ch.Objects[i]
		if err := checkObject(o); err != nil {
			return fmt.Errorf("change %s: %w", ch.ID, err)
		}
		if seen[o.Key] {
			return fmt.Errorf("change %s: %s %q is listed twice", ch.ID, o.Key.Kind, o.Key.Name)
		}
		seen[o.Key] = true
	}
	return nil
}

// checkObject checks that an object is of a known kind and that it is either
// a tombstone or has exactly one value, which matches its key.
func checkObject(o *model.Object) error {
	switch o.Key.Kind {
	case model.KindService, model.KindDomain, model.KindDomainState, model.KindTargetState:
	default:
		return fmt.Errorf("object kind %q is unknown", o.Key.Kind)
	}
	if o.Key.Name == "" {
		return fmt.Errorf("%s has no name", o.Key.Kind)
	}
	if o.Deleted() {
		return nil
	}
	if keys := valueKeys(o); len(keys) != 1 || keys[0] != o.Key {
		return fmt.Errorf("%s %q has a value that does not match its key", o.Key.Kind, o.Key.Name)
	}
	return nil
}

// valueKeys returns the keys that belong to the object's values.
func valueKeys(o *model.Object) []model.ObjectKey {
	var keys []model.ObjectKey
	if o.Service != nil {
		keys = append(keys, model.ObjectKey{Kind: model.KindService, Name: string(o.Service.Name)})
	}
	if o.Domain != nil {
		keys = append(keys, model.ObjectKey{Kind: model.KindDomain, Name: string(o.Domain.Name)})
	}
	if o.DomainState != nil {
		keys = append(keys, model.ObjectKey{Kind: model.KindDomainState, Name: string(o.DomainState.Name)})
	}
	if o.TargetState != nil {
		keys = append(keys, model.ObjectKey{Kind: model.KindTargetState, Name: string(o.TargetState.Name)})
	}
	return keys
}

// newRecord returns the record of the change at a version. It copies the
// change's objects to set their versions.
func newRecord(version uint64, ch Change) Record {
	objects := make([]model.Object, len(ch.Objects))
	for i, o := range ch.Objects {
		o.Version = version
		objects[i] = o
	}
	ch.Objects = objects
	return Record{Version: version, Change: ch}
}

// encode returns the record as JSON, or a *TooLargeError.
func (r Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(r.Change.Objects) > MaxObjects || len(data) > maxChangeBytes {
		return nil, &TooLargeError{ID: r.Change.ID, Objects: len(r.Change.Objects), Bytes: len(data)}
	}
	return data, nil
}
