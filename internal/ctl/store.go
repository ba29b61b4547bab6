package ctl

import (
	"context"
	"errors"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// ConfigStore is the versioned configuration in the store.
// configstore.Client implements it.
type ConfigStore interface {
	// Load returns the objects that changed after the version.
	Load(ctx context.Context, since uint64) (configstore.Snapshot, error)
	// Apply writes the change if the version is still base. It fails with
	// *configstore.ConflictError, *configstore.UnresolvedError or
	// *configstore.TooLargeError.
	Apply(ctx context.Context, base uint64, change configstore.Change) (configstore.Record, error)
	// History returns the newest records, the newest first.
	History(ctx context.Context, limit int) ([]configstore.Record, error)
}

// StoreSettings says where the configuration is.
type StoreSettings struct {
	// Endpoints are the store's gateways, as http://ip:port.
	Endpoints []string
	Cluster   string
	// Timeout bounds the command's use of the store.
	Timeout time.Duration
}

// callTimeout bounds one call of the store, so that a command can try again
// within its --timeout.
const callTimeout = 3 * time.Second

// loadRetryInterval is the pause before the configuration is read again from a
// store that did not answer.
const loadRetryInterval = 250 * time.Millisecond

// OpenStore returns the configuration in the store at the endpoints. It sends
// nothing yet.
func OpenStore(s StoreSettings) ConfigStore {
	kv := store.NewEtcd(store.Options{Endpoints: s.Endpoints, Timeout: min(s.Timeout, callTimeout)})
	return configstore.New(kv, s.Cluster)
}

// version reads the version in the store. The objects after the given version
// come with it.
func (s *session) readVersion(since uint64) (uint64, error) {
	snapshot, err := loadSnapshot(s.ctx, s.store, since)
	return snapshot.Version, err
}

// load reads the objects that changed after the version. While the store does
// not answer, it tries again until the context ends.
func loadSnapshot(ctx context.Context, s ConfigStore, since uint64) (configstore.Snapshot, error) {
	snapshot, err := s.Load(ctx, since)
	for errors.Is(err, store.ErrUnavailable) && sleep(ctx, loadRetryInterval) {
		snapshot, err = s.Load(ctx, since)
	}
	return snapshot, err
}

// loadConfig reads the whole configuration, as load does.
func loadConfig(ctx context.Context, s ConfigStore) (*model.Config, error) {
	snapshot, err := loadSnapshot(ctx, s, 0)
	if err != nil {
		return nil, err
	}
	config := model.NewConfig()
	config.Merge(snapshot.Version, snapshot.Objects)
	return config, nil
}
