// Package admin serves the admin API and the metrics of a node over HTTP.
//
// The address is not authenticated and belongs on a network of the operators.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Inspector runs a function with a node's board between two events. It
// reports false when the node has ended.
type Inspector interface {
	Inspect(f func(*core.Board)) bool
}

// Node is what the server reports on. Functions that are nil leave their part
// out of the answers; all run with the board between two events.
type Node struct {
	Inspector Inspector
	// Status completes a status with what the board does not hold.
	Status func(b *core.Board, s *adminapi.Status)
	// Flows lists at most limit held flows.
	Flows func(b *core.Board, limit int) []adminapi.Flow
	// Explain completes an explanation.
	Explain func(b *core.Board, flow model.FlowKey, e *adminapi.Explanation)
	// Metrics serves the metrics page.
	Metrics http.Handler
}

// Handler returns the HTTP handler of the admin address.
func Handler(n Node) http.Handler {
	s := &server{node: n}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathStatus, s.status)
	mux.HandleFunc("GET "+adminapi.PathFlows, s.flows)
	mux.HandleFunc("GET "+adminapi.PathExplain, s.explain)
	if n.Metrics != nil {
		mux.Handle("GET /metrics", n.Metrics)
	}
	return mux
}

type server struct {
	node Node
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	filter := adminapi.MemberFilter(r.URL.Query().Get(adminapi.ParamMembers))
	var out adminapi.Status
	s.inspect(w, &out, func(b *core.Board) error {
		out = statusOf(b, filter)
		if s.node.Status != nil {
			s.node.Status(b, &out)
		}
		return nil
	})
}

func (s *server) flows(w http.ResponseWriter, r *http.Request) {
	limit, err := flowLimit(r.URL.Query().Get(adminapi.ParamLimit))
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	service := model.ServiceName(r.URL.Query().Get(adminapi.ParamService))
	var out adminapi.Flows
	s.inspect(w, &out, func(b *core.Board) error {
		out = adminapi.Flows{Node: b.Self.Member.Node, Held: b.Flows.Local, Directory: b.Flows.DirectoryEntries}
		if s.node.Flows == nil || (service != "" && service != b.Self.Member.Service) {
			return nil
		}
		out.Flows = s.node.Flows(b, limit)
		out.Truncated = len(out.Flows) < b.Flows.Local
		return nil
	})
}

func flowLimit(text string) (int, error) {
	if text == "" {
		return adminapi.MaxFlows, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 || limit > adminapi.MaxFlows {
		return 0, fmt.Errorf("%s is not a number from 0 to %d", adminapi.ParamLimit, adminapi.MaxFlows)
	}
	return limit, nil
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	service := model.ServiceName(r.URL.Query().Get(adminapi.ParamService))
	caller, err := netip.ParseAddrPort(r.URL.Query().Get(adminapi.ParamCaller))
	if err != nil {
		problem(w, http.StatusBadRequest, fmt.Errorf("%s: %w", adminapi.ParamCaller, err))
		return
	}
	var out adminapi.Explanation
	s.inspect(w, &out, func(b *core.Board) error {
		if b.Config.Current.Service(service) == nil {
			return &unknownServiceError{service}
		}
		out = explanationOf(b, service, caller)
		if s.node.Explain != nil {
			s.node.Explain(b, model.FlowKey{Caller: caller, Service: service.ID()}, &out)
		}
		return nil
	})
}

// inspect answers with out after f has filled it in.
func (s *server) inspect(w http.ResponseWriter, out any, f func(*core.Board) error) {
	var err error
	if !s.node.Inspector.Inspect(func(b *core.Board) { err = f(b) }) {
		problem(w, http.StatusServiceUnavailable, errors.New("the node has stopped"))
		return
	}
	var unknown *unknownServiceError
	if errors.As(err, &unknown) {
		problem(w, http.StatusNotFound, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// unknownServiceError reports a service that is not declared.
type unknownServiceError struct {
	service model.ServiceName
}

// Error names the service.
func (e *unknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not declared", e.service)
}

func problem(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(adminapi.Problem{Message: err.Error()})
}
