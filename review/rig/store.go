package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its deletion.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created_rev,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time
	ttls    map[int64]time.Duration
	changed chan struct{}
	// busy answers every call with 503: nothing is done.
	busy bool
	// lose picks writes that are executed after a delay and never answered.
	lose   func(keys []string) (delay time.Duration, lost bool)
	record func(string, ...any)
	server *http.Server
}

func newStore(record func(string, ...any)) *store {
	return &store{
		rev: 10, items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}), record: record,
	}
}

func (s *store) serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		if s.isBusy() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setBusy begins or ends an outage. Waiting watches are cut.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease int64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	s.wake()
}

// write is a write by the operator.
func (s *store) write(key string, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, []byte(value), 0)
}

// value returns an item's value.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *store) expire() {
	now := time.Now()
	for id, at := range s.leases {
		if now.After(at) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, map[string]any{"items": items, "has_more": false, "as_of": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	expiry := time.NewTicker(100 * time.Millisecond)
	defer expiry.Stop()
	for done := false; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed, busy := s.rev, s.changed, s.busy
		s.mu.Unlock()
		if busy {
			panic(http.ErrAbortHandler) // a waiting watch may be cut
		}
		if len(events) > 0 || done {
			reply(w, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-expiry.C:
		case <-r.Context().Done():
			return
		case <-timeout:
			done = true
		}
	}
}

type txnBody struct {
	Expect []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Delete []string `json:"delete"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var keys []string
	for _, write := range body.Writes {
		keys = append(keys, write.Key)
	}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if delay, lost := lose(keys); lost {
			s.record("store: the write of %v gets no answer and is done %v later", keys, delay)
			time.AfterFunc(delay, func() {
				status := s.apply(&body)
				s.record("store: the late write of %v is done now, status %d", keys, status)
			})
			<-r.Context().Done()
			return
		}
	}
	status := s.apply(&body)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, map[string]int64{"rev": s.rev})
}

// apply executes a transaction and returns the status.
func (s *store) apply(body *txnBody) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range body.Expect {
		if s.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed
		}
	}
	for _, write := range body.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound
		}
	}
	for _, write := range body.Writes {
		s.put(write.Key, append([]byte{}, write.Value...), write.Lease)
	}
	for _, key := range body.Delete {
		s.remove(key)
	}
	return http.StatusOK
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.ttls[s.rev] = time.Duration(body.TTL) * time.Millisecond
	s.leases[s.rev] = time.Now().Add(s.ttls[s.rev])
	reply(w, map[string]int64{"lease": s.rev, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, map[string]int64{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, map[string]int64{})
}

// setLose sets which writes get no answer and are executed late, nil for none.
func (s *store) setLose(lose func(keys []string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}
