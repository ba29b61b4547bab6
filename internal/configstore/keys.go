package configstore

import (
	"fmt"
	"strconv"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// versionDigits pads versions in keys, so that their order is numerical.
const versionDigits = 20

// keys builds the keys of one cluster.
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

// parseObject returns the object that a key names.
func (k keys) parseObject(key string) (model.ObjectKey, error) {
	rest, ok := strings.CutPrefix(key, k.objects())
	kind, name, named := strings.Cut(rest, "/")
	if !ok || !named {
		return model.ObjectKey{}, fmt.Errorf("key %q names no object", key)
	}
	return model.ObjectKey{Kind: model.ObjectKind(kind), Name: name}, nil
}

// record is the key of one history record.
func (k keys) record(version uint64) string {
	return fmt.Sprintf("%shistory/%0*d", k.root, versionDigits, version)
}

// records covers the history from first to last.
func (k keys) records(first, last uint64) store.Range {
	return store.Range{Key: k.record(first), End: k.record(last + 1)}
}

// recordsFrom covers the history from a version on.
func (k keys) recordsFrom(first uint64) store.Range {
	return store.Range{Key: k.record(first), End: store.PrefixEnd(k.root + "history/")}
}

// change is the key that holds the version of an applied change, in decimal.
func (k keys) change(id string) string { return k.root + "change/" + id }

func formatVersion(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }

func parseVersion(value []byte) (uint64, error) {
	return strconv.ParseUint(string(value), 10, 64)
}
