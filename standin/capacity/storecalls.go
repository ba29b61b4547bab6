package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// StoreCost is what the configuration costs the store and its clients.
type StoreCost struct {
	// CallsPerChange is the calls of an operator who reads the configuration
	// and changes one object; WritesPerChange the part that writes.
	CallsPerChange, WritesPerChange float64
	// CallsPerReader is the calls of one watching balancer for a change, and
	// CallsPerWatch those to start a watch.
	CallsPerReader, CallsPerWatch float64
	// Notified is the time from an accepted change to the reader, in seconds.
	Notified Sample
	// ObjectBytes is one service in the store, RecordBytes the history of one
	// change of a service.
	ObjectBytes, RecordBytes float64
	// LoadSeconds is the processor time of the client and the stand-in for
	// reading the whole configuration; LoadBytes what it is stored as.
	LoadSeconds, LoadBytes float64
	// CompareSeconds is the time in which a client compares the whole
	// configuration with a new one and checks it.
	CompareSeconds Sample
	// ClientMemory is what the client keeps while it does: both configurations.
	ClientMemory Sample
}

const (
	storeTimeout = 10 * time.Second
	// measuredChanges is the number of changes that are counted.
	measuredChanges = 30
	// objectsPerChange is the services written by one change while the store is
	// filled.
	objectsPerChange = 100
)

// measureStore fills a store stand-in with the planned services and counts the
// calls of changes.
func measureStore(p Plan) (StoreCost, error) {
	server := standin.New()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return StoreCost{}, fmt.Errorf("listen for store calls: %w", err)
	}
	web := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: storeTimeout}
	defer web.Close()
	go func() { _ = web.Serve(ln) }()
	kv := store.NewEtcd(store.Options{Endpoints: []string{"http://" + ln.Addr().String()}, Timeout: storeTimeout})
	defer kv.Close()
	m := storeMeter{plan: p, server: server, client: configstore.New(kv, "capacity")}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return m.measure(ctx)
}

// storeMeter is a store under measurement.
type storeMeter struct {
	plan    Plan
	server  *standin.Server
	client  *configstore.Client
	version uint64
	changes int
}

func (m *storeMeter) measure(ctx context.Context) (StoreCost, error) {
	var c StoreCost
	if err := m.fill(ctx); err != nil {
		return c, err
	}
	if err := m.load(ctx, &c); err != nil {
		return c, err
	}
	before := m.server.Counts()
	if err := m.operate(ctx, nil, nil); err != nil {
		return c, err
	}
	c.CallsPerChange = float64(m.server.Counts().Total()-before.Total()) / measuredChanges
	c.WritesPerChange = 1 // the transaction of Apply
	if err := m.watch(ctx, &c); err != nil {
		return c, err
	}
	return c, m.compare(&c)
}

// apply submits objects as one change.
func (m *storeMeter) apply(ctx context.Context, objects []model.Object) error {
	m.changes++
	change := configstore.Change{
		ID: fmt.Sprintf("change-%06d", m.changes), Author: "capacity", At: start, Objects: objects,
	}
	record, err := m.client.Apply(ctx, m.version, change)
	m.version = record.Version
	return err
}

// fill writes the planned services.
func (m *storeMeter) fill(ctx context.Context) error {
	for first := 0; first < m.plan.Services; first += objectsPerChange {
		var objects []model.Object
		for i := first; i < min(first+objectsPerChange, m.plan.Services); i++ {
			objects = append(objects, serviceObject(m.plan, i))
		}
		if err := m.apply(ctx, objects); err != nil {
			return fmt.Errorf("fill the store: %w", err)
		}
	}
	return nil
}

// load reads the whole configuration.
func (m *storeMeter) load(ctx context.Context, c *StoreCost) error {
	before := processorTime()
	snapshot, err := m.client.Load(ctx, 0)
	if err != nil {
		return err
	}
	c.LoadSeconds = (processorTime() - before).Seconds()
	for _, o := range snapshot.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			return err
		}
		c.LoadBytes += float64(len(data))
	}
	c.ObjectBytes = c.LoadBytes / float64(len(snapshot.Objects))
	data, err := json.Marshal(configstore.Record{Change: configstore.Change{ID: "change-000001", Author: "capacity", At: start, Objects: snapshot.Objects[:1]}})
	c.RecordBytes = float64(len(data))
	return err
}

// operate makes changes as amaranthctl does: it reads the configuration and
// submits one object. If notified is set, it waits for the watch each time and
// appends the time that it took.
func (m *storeMeter) operate(ctx context.Context, notified <-chan configstore.Snapshot, took *[]float64) error {
	for i := range measuredChanges {
		if _, err := m.client.Load(ctx, 0); err != nil {
			return err
		}
		o := serviceObject(m.plan, i)
		o.Service.MaxSlots = slotsPerTarget + m.changes
		begin := time.Now()
		if err := m.apply(ctx, []model.Object{o}); err != nil {
			return err
		}
		if notified == nil {
			continue
		}
		select {
		case <-notified:
			*took = append(*took, time.Since(begin).Seconds())
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// watch counts the calls of one reader.
func (m *storeMeter) watch(ctx context.Context, c *StoreCost) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	notified := make(chan configstore.Snapshot, 1)
	before := m.server.Counts().Total()
	go func() {
		_ = m.client.Watch(ctx, m.version, func(s configstore.Snapshot) { notified <- s })
	}()
	for m.server.Counts().Total() < before+2 {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	c.CallsPerWatch = float64(m.server.Counts().Total() - before)
	before = m.server.Counts().Total()
	var took []float64
	if err := m.operate(ctx, notified, &took); err != nil {
		return err
	}
	all := float64(m.server.Counts().Total()-before) / measuredChanges
	c.CallsPerReader = all - c.CallsPerChange
	c.Notified = summary(took)
	return nil
}

// compare measures the client's own work on a configuration in which one
// service has changed.
func (m *storeMeter) compare(c *StoreCost) error {
	var err error
	c.ClientMemory, err = repeat(func() (float64, error) {
		return growth(func() (comparison, error) { return newComparison(m.plan), nil })
	})
	if err != nil {
		return err
	}
	held := newComparison(m.plan)
	held.desired[0].Service.MaxSlots++
	c.CompareSeconds = timed(fewIterations, func(int) {
		changes := declare.Diff(held.current, held.desired)
		_ = declare.Validate(declare.ApplyChanges(held.current, changes))
	})
	return nil
}

// comparison is a configuration and the objects that are to take its place.
type comparison struct {
	current *model.Config
	desired []model.Object
}

func newComparison(p Plan) comparison {
	c := comparison{current: model.NewConfig()}
	for i := range p.Services {
		c.current.Merge(uint64(i+1), []model.Object{serviceObject(p, i)})
		c.desired = append(c.desired, serviceObject(p, i))
	}
	return c
}
