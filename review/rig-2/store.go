package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes bound a page of a range. The last item may exceed pageBytes.
	pageItems = 500
	pageBytes = 1_000_000
	// valueBytes bounds a value.
	valueBytes = 1 << 20
	// answerTime is the time of an answer.
	answerTime = 4 * time.Millisecond
	// historyTime is how long events are kept.
	historyTime = 20 * time.Second
)

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        int64  `json:"rev"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type event struct {
	item
	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	// OnRange is called after a page of a range was read, before it is sent.
	OnRange func(from, after string, last bool)

	mu        sync.Mutex
	rev       int64
	dropped   int64 // revision up to which the history is gone
	items     map[string]item
	history   []event
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
	server    *http.Server
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), lastLease: 1000}
}

// Serve serves the store until Close.
func (s *Store) Serve(address string) error {
	listener, err := net.Listen("tcp4", address)
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
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }() // until Close
	return nil
}

// Close stops the server.
func (s *Store) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
}

// Put writes a key as the operator does, and returns the revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) > valueBytes {
		panic("value is too long")
	}
	s.rev++
	s.put(key, value, 0)
	s.wake()
	return s.rev
}

// put writes or, with a nil value, deletes a key at the present revision.
func (s *Store) put(key string, value []byte, leaseID int64) {
	old, existed := s.items[key]
	i := item{Key: key, Value: value, Rev: s.rev, CreatedRev: s.rev, Lease: leaseID, Deleted: value == nil}
	if existed {
		i.CreatedRev = old.CreatedRev
	}
	if i.Deleted {
		if !existed {
			return
		}
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, event{i, time.Now()})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes ended leases with their keys, and old history.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > historyTime {
		s.dropped = s.history[n].Rev
		n++
	}
	s.history = slices.Delete(s.history, 0, n)
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.put(key, nil, 0)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a broken connection is the node's matter
}

// Revoke ends the lease under which a key was written.
func (s *Store) Revoke(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if ok && s.leases[i.Lease] != nil {
		s.endLease(i.Lease)
	}
	return ok
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as_of": s.rev})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created_rev": i.CreatedRev, "lease": i.Lease, "as_of": s.rev})
}

// page returns a page of the items with a prefix after a key.
func (s *Store) page(prefix, after string) (items []item, more bool, asOf int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items = []item{}
	bytes := 0
	for _, key := range keys {
		if len(items) == pageItems || bytes >= pageBytes {
			return items, true, s.rev
		}
		items = append(items, s.items[key])
		bytes += len(s.items[key].Value)
	}
	return items, false, s.rev
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items, more, asOf := s.page(prefix, after)
	if s.OnRange != nil {
		s.OnRange(r.RemoteAddr, after, !more)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, gone, changed := s.since(query.Get("prefix"), after)
		switch {
		case gone:
			answer(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) (events []item, asOf int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events = []item{}
	for _, e := range s.history {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e.item)
		}
	}
	return events, s.rev, after < s.dropped, s.changed
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	met := true
	current := []item{}
	for _, e := range body.Expect {
		met = met && s.items[e.Key].Rev == e.Rev
		current = append(current, s.items[e.Key])
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range body.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, x := range body.Writes {
		s.put(x.Key, append([]byte{}, x.Value...), x.Lease)
	}
	for _, key := range body.Delete {
		s.put(key, nil, 0)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if s.leases[id] != nil {
		s.endLease(id)
	}
	answer(w, http.StatusOK, map[string]any{})
}
