package ctl

import (
	"context"
	"errors"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// ConfigStore is the versioned configuration in the store. configstore.Client
// implements it.
type ConfigStore interface {
	// Load returns the objects that changed after the version.
	Load(ctx context.Context, since uint64) (configstore.Snapshot, error)
	// Apply writes the change if base is still the current version. It fails
	// with *configstore.ConflictError, *configstore.UnresolvedError or
	// *configstore.TooLargeError.
	Apply(ctx context.Context, base uint64, change configstore.Change) (configstore.Record, error)
	// History returns the most recent records, the newest first.
	History(ctx context.Context, limit int) ([]configstore.Record, error)
}

// StoreSettings is the location of the configuration.
type StoreSettings struct {
	// Endpoints are the gateways of the store, as http://ip:port.
	Endpoints []string
	Cluster   string
	// Timeout is the time limit of all store calls of the command.
	Timeout time.Duration
}

// callTimeout is the timeout of one call of the store. It is shorter than
// --timeout, so that a command can retry.
const callTimeout = 3 * time.Second

// loadRetryInterval is the interval at which the configuration is read again
// while the store is unavailable.
const loadRetryInterval = 250 * time.Millisecond

// OpenStore returns the configuration in the store at the endpoints. It opens
// no connection yet.
func OpenStore(s StoreSettings) ConfigStore {
	kv := store.NewEtcd(store.Options{Endpoints: s.Endpoints, Timeout: min(s.Timeout, callTimeout)})
	return configstore.New(kv, s.Cluster)
}

// readVersion returns the current version in the store. It reads only the
// objects that changed after the given version.
func (s *session) readVersion(since uint64) (uint64, error) {
	snapshot, err := loadSnapshot(s.ctx, s.store, since)
	return snapshot.Version, err
}

// loadSnapshot reads the objects that changed after the version. It retries
// while the store is unavailable, until the context is done.
func loadSnapshot(ctx context.Context, s ConfigStore, since uint64) (configstore.Snapshot, error) {
	snapshot, err := s.Load(ctx, since)
	for errors.Is(err, store.ErrUnavailable) && sleep(ctx, loadRetryInterval) {
		snapshot, err = s.Load(ctx, since)
	}
	return snapshot, err
}

// loadConfig reads the whole configuration with the retries of loadSnapshot.
func loadConfig(ctx context.Context, s ConfigStore) (*model.Config, error) {
	snapshot, err := loadSnapshot(ctx, s, 0)
	if err != nil {
		return nil, err
	}
	config := model.NewConfig()
	config.Merge(snapshot.Version, snapshot.Objects)
	return config, nil
}
