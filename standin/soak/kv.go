package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pair is an item of the store.
type pair struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// kvFaults is what goes wrong at the store.
type kvFaults struct {
	// refuse answers 503; silent answers nothing until it ends.
	refuse, silent bool
	// delay is added to each answer.
	delay time.Duration
	// lost is the share of writes that are done and not answered.
	lost float64
}

// kv is a stand-in for the platform's store.
type kv struct {
	mu      sync.Mutex
	rev     int64
	oldest  int64
	items   map[string]pair
	history []pair
	leases  map[int64]time.Time
	ttls    map[int64]time.Duration
	faults  kvFaults
	changed chan struct{}
	server  *http.Server
}

func newKV() *kv {
	return &kv{
		rev: 1, items: make(map[string]pair), leases: make(map[int64]time.Time), ttls: make(map[int64]time.Duration),
		changed: make(chan struct{}),
	}
}

// serve serves the store on an address until close.
func (k *kv) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", k.get)
	mux.HandleFunc("GET /v1/kv-range", k.list)
	mux.HandleFunc("GET /v1/kv-watch", k.watch)
	mux.HandleFunc("POST /v1/kv-txn", k.txn)
	mux.HandleFunc("POST /v1/kv-lease", k.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", k.keep)
	k.server = &http.Server{Handler: k.faulty(mux)}
	go func() { _ = k.server.Serve(listener) }()
	return nil
}

// faulty lets the store's faults act before a call.
func (k *kv) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := k.current()
		time.Sleep(f.delay)
		for f.silent {
			if r.Context().Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			f = k.current()
		}
		if f.refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodPost && rand.Float64() < f.lost {
			next.ServeHTTP(discard{}, r)
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a response that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (k *kv) current() kvFaults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

func (k *kv) setFaults(f kvFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// put writes a key, or deletes it if value is nil.
func (k *kv) put(key string, value []byte, lease int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write(key, value, lease)
}

func (k *kv) write(key string, value []byte, lease int64) {
	k.rev++
	p := pair{Key: key, Value: value, Rev: k.rev, Lease: lease, Deleted: value == nil}
	if p.Deleted {
		delete(k.items, key)
	} else {
		k.items[key] = p
	}
	k.history = append(k.history, p)
	close(k.changed)
	k.changed = make(chan struct{})
}

// compact forgets the history.
func (k *kv) compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.oldest, k.history = k.rev, nil
	close(k.changed)
	k.changed = make(chan struct{})
}

// lapse removes the keys of leases that have ended.
func (k *kv) lapse() {
	now := time.Now()
	for id, until := range k.leases {
		if now.Before(until) {
			continue
		}
		delete(k.leases, id)
		for key, p := range k.items {
			if p.Lease == id {
				k.write(key, nil, 0)
			}
		}
	}
}

func (k *kv) get(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapse()
	p, ok := k.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, p)
}

func (k *kv) list(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapse()
	items := []pair{}
	for key, p := range k.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			items = append(items, p)
		}
	}
	slices.SortFunc(items, func(a, b pair) int { return strings.Compare(a.Key, b.Key) })
	answer(w, map[string]any{"items": items, "has_more": false, "as_of": k.rev})
}

func (k *kv) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, rev, lost, changed := k.since(r.URL.Query().Get("prefix"), after)
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, map[string]any{"events": events, "as_of": rev})
			return
		}
	}
}

func (k *kv) since(prefix string, after int64) (events []pair, rev int64, lost bool, changed chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapse()
	events = []pair{}
	for _, p := range k.history {
		if p.Rev > after && strings.HasPrefix(p.Key, prefix) {
			events = append(events, p)
		}
	}
	return events, k.rev, after < k.oldest, k.changed
}

func (k *kv) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Writes []pair   `json:"writes"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapse()
	for _, p := range body.Writes {
		if _, ok := k.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Writes {
		k.write(p.Key, append([]byte{}, p.Value...), p.Lease)
	}
	for _, key := range body.Delete {
		k.write(key, nil, 0)
	}
	answer(w, map[string]int64{"rev": k.rev})
}

func (k *kv) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rev++
	k.ttls[k.rev] = time.Duration(body.TTL) * time.Millisecond
	k.leases[k.rev] = time.Now().Add(k.ttls[k.rev])
	answer(w, map[string]int64{"lease": k.rev, "ttl_ms": body.TTL})
}

func (k *kv) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapse()
	if _, ok := k.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	k.leases[id] = time.Now().Add(k.ttls[id])
	answer(w, map[string]int64{"ttl_ms": k.ttls[id].Milliseconds()})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the daemon takes a cut answer as none
}
