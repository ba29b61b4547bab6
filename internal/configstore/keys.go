package configstore

import (
	"fmt"
	"strconv"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// versionDigits is the width to which versions in keys are zero-padded, so that
// keys sort by version.
const versionDigits = 20

// keys builds and parses the store keys of one cluster.
type keys struct{ root string }

func newKeys(cluster string) keys {
	return keys{"/amaranthwheel/" + cluster + "/"}
}

// version is the key of the current version, in decimal.
func (k keys) version() string { return k.root + "version" }

// objects is the prefix of all objects.
func (k keys) objects() string { return k.root + "object/" }

// object is the key of one object.
func (k keys) object(key model.ObjectKey) string {
	return k.objects() + string(key.Kind) + "/" + key.Name
}

// parseObjectKey parses the key of an object.
func (k keys) parseObjectKey(key string) (model.ObjectKey, error) {
	rest, ok := strings.CutPrefix(key, k.objects())
	kind, name, named := strings.Cut(rest, "/")
	if !ok || !named {
		return model.ObjectKey{}, fmt.Errorf("key %q is not that of an object", key)
	}
	return model.ObjectKey{Kind: model.ObjectKind(kind), Name: name}, nil
}

// record is the key of one history record.
func (k keys) record(version uint64) string {
	return fmt.Sprintf("%shistory/%0*d", k.root, versionDigits, version)
}

// records is the range of the history from version first to last.
func (k keys) records(first, last uint64) store.Range {
	return store.Range{Key: k.record(first), End: k.record(last + 1)}
}

// recordsFrom is the range of the history from version first on.
func (k keys) recordsFrom(first uint64) store.Range {
	return store.Range{Key: k.record(first), End: store.PrefixEnd(k.root + "history/")}
}

// change is the key that holds the version of an applied change, in decimal.
func (k keys) change(id string) string { return k.root + "change/" + id }

func formatVersion(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }

func parseVersion(value []byte) (uint64, error) {
	return strconv.ParseUint(string(value), 10, 64)
}
