// Package admin serves the admin API and the metrics of a node over HTTP.
//
// It does not authenticate requests, so its address belongs on the operators'
// network.
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
// returns false if the node has stopped.
type Inspector interface {
	Inspect(f func(*core.Board)) bool
}

// Node is the node on which the server reports. A nil function omits its part
// of the responses; all functions run with the board between two events.
type Node struct {
	Inspector Inspector
	// Status adds the parts of a status that are not on the board.
	Status func(b *core.Board, s *adminapi.Status)
	// Flows lists at most limit local flows.
	Flows func(b *core.Board, limit int) []adminapi.Flow
	// Explain adds what the node knows of the flow besides its route.
	Explain func(b *core.Board, flow model.FlowKey, e *adminapi.Explanation)
	// Metrics serves the metrics page.
	Metrics http.Handler
}

// Handler returns the HTTP handler of the admin address.
func Handler(n Node) http.Handler {
	s := &server{node: n}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathStatus, s.handleStatus)
	mux.HandleFunc("GET "+adminapi.PathFlows, s.handleFlows)
	mux.HandleFunc("GET "+adminapi.PathExplain, s.handleExplain)
	if n.Metrics != nil {
		mux.Handle("GET /metrics", n.Metrics)
	}
	return mux
}

type server struct {
	node Node
}

func (s *server) handleStatus(w http.ResponseWriter, r *http.Request) {
	filter := adminapi.MemberFilter(r.URL.Query().Get(adminapi.ParamMembers))
	var out adminapi.Status
	s.respond(w, &out, func(b *core.Board) error {
		out = buildStatus(b, filter)
		if s.node.Status != nil {
			s.node.Status(b, &out)
		}
		return nil
	})
}

func (s *server) handleFlows(w http.ResponseWriter, r *http.Request) {
	limit, err := parseFlowLimit(r.URL.Query().Get(adminapi.ParamLimit))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	service := model.ServiceName(r.URL.Query().Get(adminapi.ParamService))
	var out adminapi.Flows
	s.respond(w, &out, func(b *core.Board) error {
		out = adminapi.Flows{Node: b.Self.Member.Node, Local: b.Flows.Local, DirectoryEntries: b.Flows.DirectoryEntries}
		if s.node.Flows == nil || (service != "" && service != b.Self.Member.Service) {
			return nil
		}
		out.Flows = s.node.Flows(b, limit)
		out.Truncated = len(out.Flows) < b.Flows.Local
		return nil
	})
}

func parseFlowLimit(text string) (int, error) {
	if text == "" {
		return adminapi.MaxFlows, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 || limit > adminapi.MaxFlows {
		return 0, fmt.Errorf("%s is not a number from 0 to %d", adminapi.ParamLimit, adminapi.MaxFlows)
	}
	return limit, nil
}

func (s *server) handleExplain(w http.ResponseWriter, r *http.Request) {
	service := model.ServiceName(r.URL.Query().Get(adminapi.ParamService))
	caller, err := netip.ParseAddrPort(r.URL.Query().Get(adminapi.ParamCaller))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, fmt.Errorf("%s: %w", adminapi.ParamCaller, err))
		return
	}
	var out adminapi.Explanation
	s.respond(w, &out, func(b *core.Board) error {
		if b.Config.Current.Service(service) == nil {
			return &unknownServiceError{service}
		}
		out = buildExplanation(b, service, caller)
		if s.node.Explain != nil {
			s.node.Explain(b, model.FlowKey{Caller: caller, Service: service.ID()}, &out)
		}
		return nil
	})
}

// respond writes out as JSON after f has filled it in, or a Problem on failure.
func (s *server) respond(w http.ResponseWriter, out any, f func(*core.Board) error) {
	var err error
	if !s.node.Inspector.Inspect(func(b *core.Board) { err = f(b) }) {
		writeProblem(w, http.StatusServiceUnavailable, errors.New("the node has stopped"))
		return
	}
	var unknown *unknownServiceError
	if errors.As(err, &unknown) {
		writeProblem(w, http.StatusNotFound, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// unknownServiceError reports a service that is not declared.
type unknownServiceError struct {
	service model.ServiceName
}

// Error returns a message that names the service.
func (e *unknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not declared", e.service)
}

func writeProblem(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(adminapi.Problem{Message: err.Error()})
}
