package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	memory  *memory
	faults  Faults
	counts  Counts
	watches int
	// changed is closed and replaced when the memory changes.
	changed chan struct{}
	// dropped is closed and replaced to end the watches.
	dropped chan struct{}
}

// New returns an empty, healthy store.
func New() *Server {
	return &Server{memory: newMemory(), changed: make(chan struct{}), dropped: make(chan struct{})}
}

// Handler serves the gateway.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcdjson.PathRange, serve(s, s.handleRange))
	mux.HandleFunc("POST "+etcdjson.PathTxn, serve(s, s.handleTxn))
	mux.HandleFunc("POST "+etcdjson.PathLeaseGrant, serve(s, s.handleGrant))
	mux.HandleFunc("POST "+etcdjson.PathLeaseKeepAlive, serve(s, s.handleKeepAlive))
	mux.HandleFunc("POST "+etcdjson.PathLeaseRevoke, serve(s, s.handleRevoke))
	mux.HandleFunc("POST "+etcdjson.PathWatch, s.serveWatch)
	return mux
}

// announce wakes the watches. The caller holds the lock.
func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropWatches ends the watches. The caller holds the lock.
func (s *Server) dropWatches() {
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// begin counts a call and delays it.
func (s *Server) begin(path string) {
	s.mu.Lock()
	s.counts.add(path)
	slow := time.Duration(s.faults.SlowMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(slow)
}

// loseConnection ends the current request without an answer.
func loseConnection() { panic(http.ErrAbortHandler) }

// outcome is what a call returns: its answer, and whether it wrote.
type outcome struct {
	answer any
	wrote  bool
}

// serve decodes requests of one type and answers them with the handler, which
// runs under the lock.
func serve[T any](s *Server, handle func(*T) (outcome, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request T
		decodeErr := readRequest(w, r, &request)
		s.begin(r.URL.Path)
		if decodeErr != nil {
			writeError(w, decodeErr)
			return
		}
		out, lost, err := run(s, handle, &request)
		switch {
		case lost:
			loseConnection()
		case err != nil:
			writeError(w, err)
		default:
			writeJSON(w, out.answer)
		}
	}
}

// run runs the handler under the lock and reports whether its answer is lost.
func run[T any](s *Server, handle func(*T) (outcome, error), request *T) (out outcome, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return outcome{}, true, nil
	}
	if s.memory.expire(time.Now()) {
		s.announce()
	}
	out, err = handle(request)
	if err == nil && out.wrote {
		s.announce()
		lost = s.loseAnswer()
	}
	return out, lost, err
}

func readRequest(w http.ResponseWriter, r *http.Request, request any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return errors.New("etcdserver: request is too large")
	}
	return json.Unmarshal(data, request)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// The connection may be gone; the caller then has no answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// codeInvalidArgument is the gRPC code of a refused request.
const codeInvalidArgument = 3

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(etcdjson.Error{Code: codeInvalidArgument, Message: err.Error()})
}

func (s *Server) handleRange(r *etcdjson.RangeRequest) (outcome, error) {
	return outcome{answer: s.memory.readRange(r)}, nil
}

func (s *Server) handleTxn(t *etcdjson.TxnRequest) (outcome, error) {
	if err := s.memory.checkTxn(t); err != nil {
		return outcome{}, err
	}
	response, wrote := s.memory.txn(t)
	return outcome{response, wrote}, nil
}

func (s *Server) handleGrant(r *etcdjson.LeaseGrantRequest) (outcome, error) {
	return outcome{s.memory.grant(time.Now(), r), true}, nil
}

func (s *Server) handleKeepAlive(r *etcdjson.LeaseKeepAliveRequest) (outcome, error) {
	response := s.memory.keepAlive(time.Now(), r)
	return outcome{answer: etcdjson.Stream[etcdjson.LeaseKeepAliveResponse]{Result: response}}, nil
}

func (s *Server) handleRevoke(r *etcdjson.LeaseRevokeRequest) (outcome, error) {
	if err := s.memory.revoke(r.ID); err != nil {
		return outcome{}, err
	}
	return outcome{etcdjson.LeaseRevokeResponse{Header: s.memory.header()}, true}, nil
}
