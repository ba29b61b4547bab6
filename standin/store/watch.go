package store

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// leaseCheckInterval is how often a waiting watch looks for lapsed leases.
const leaseCheckInterval = 100 * time.Millisecond

// serveWatch streams the events of a key range until the watch is dropped or
// its client leaves.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.WatchRequest
	err := readRequest(w, r, &request)
	s.begin(r.URL.Path)
	if err == nil && request.Create == nil {
		err = errUnsupported
	}
	if err != nil {
		writeError(w, err)
		return
	}
	watch, ok := newWatch(s, w, request.Create)
	if !ok {
		loseConnection()
	}
	defer watch.end()
	if !watch.start() {
		return
	}
	for watch.wait(r) {
		if err := watch.sendEvents(); err != nil {
			return
		}
	}
}

// watch is one waiting watch.
type watch struct {
	server  *Server
	writer  http.ResponseWriter
	request *etcdjson.WatchCreateRequest
	// next is the first revision that is not sent yet.
	next    int64
	dropped <-chan struct{}
	changed <-chan struct{}
}

// newWatch registers a watch, unless the store is down. Without a start
// revision it begins with the next event.
func newWatch(s *Server, w http.ResponseWriter, request *etcdjson.WatchCreateRequest) (*watch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, false
	}
	s.watches++
	next := request.StartRevision
	if next <= 0 {
		next = s.memory.revision + 1
	}
	return &watch{server: s, writer: w, request: request, next: next, dropped: s.dropped}, true
}

func (w *watch) end() {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.server.watches--
}

// start confirms the watch and sends the events that are already there. It
// reports whether the watch goes on.
func (w *watch) start() bool {
	s := w.server
	s.mu.Lock()
	created := etcdjson.WatchResponse{Header: s.memory.header(), Created: true}
	compacted := s.memory.compacted
	s.mu.Unlock()
	if err := w.send(created); err != nil {
		return false
	}
	if w.next <= compacted {
		_ = w.send(etcdjson.WatchResponse{Header: created.Header, Canceled: true, CompactRevision: compacted + 1})
		return false
	}
	return w.sendEvents() == nil
}

// wait returns when there may be new events, and reports false when the watch
// is to end.
func (w *watch) wait(r *http.Request) bool {
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-w.dropped:
			return false
		case <-w.changed:
			return true
		case <-time.After(leaseCheckInterval):
			w.server.expireLeases()
		}
	}
}

// expireLeases ends the lapsed leases without waiting for a call.
func (s *Server) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.expire(time.Now()) {
		s.announce()
	}
}

// sendEvents sends what is new, in one message.
func (w *watch) sendEvents() error {
	s := w.server
	s.mu.Lock()
	events := s.memory.eventsFrom(w.request.Key, w.request.RangeEnd, w.next)
	header := s.memory.header()
	w.next = max(w.next, header.Revision+1)
	w.changed = s.changed
	s.mu.Unlock()
	if len(events) == 0 {
		return nil
	}
	return w.send(etcdjson.WatchResponse{Header: header, Events: events})
}

func (w *watch) send(message etcdjson.WatchResponse) error {
	err := json.NewEncoder(w.writer).Encode(etcdjson.Stream[etcdjson.WatchResponse]{Result: &message})
	if err != nil {
		return err
	}
	return http.NewResponseController(w.writer).Flush()
}
