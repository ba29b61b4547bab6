package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

const (
	// announcePath is the path on which targets announce themselves.
	announcePath = "/v1/target"
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 64 << 10
	// resultTimeout bounds the wait for the node's result.
	resultTimeout = 2 * time.Second
)

// announcementBody is the JSON body of an announcement.
type announcementBody struct {
	Target      model.TargetName  `json:"target"`
	Service     model.ServiceName `json:"service"`
	Address     netip.AddrPort    `json:"address"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	Instance    string            `json:"instance"`
	Draining    bool              `json:"draining"`
}

// announcementResult is the node's decision about an announcement. Without
// findings the target is accepted; pending means that the node has no complete
// configuration yet.
type announcementResult struct {
	pending  bool
	findings []findings.Finding
}

// announcementResponse is the JSON body of all responses.
type announcementResponse struct {
	Status   string                `json:"status"`
	Findings []announcementFinding `json:"findings,omitempty"`
}

// announcementFinding describes one error in an announcement.
type announcementFinding struct {
	Key     string `json:"key"`
	Message string `json:"message"`
}

// announcementAPI serves the API by which targets announce themselves.
type announcementAPI struct {
	post func(core.Event)

	// postOrder keeps waiting in the order of the posted events.
	postOrder sync.Mutex

	mu      sync.Mutex
	waiting []chan announcementResult
	latest  core.Announcement
}

func (a *announcementAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+announcePath, a.handlePut)
	mux.HandleFunc("DELETE "+announcePath, a.handleDelete)
	return mux
}

func (a *announcementAPI) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := readAnnouncement(w, r)
	if err != nil {
		writeRefusal(w, []findings.Finding{{Place: findings.Place{Key: "body"}, Message: err.Error()}})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), resultTimeout)
	defer cancel()
	result, ok := a.postAndWait(ctx, core.Announcement(body))
	switch {
	case !ok || result.pending:
		writeResponse(w, http.StatusAccepted, announcementResponse{Status: "pending"})
	case len(result.findings) > 0:
		writeRefusal(w, result.findings)
	default:
		writeResponse(w, http.StatusOK, announcementResponse{Status: "accepted"})
	}
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (announcementBody, error) {
	var body announcementBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, errors.New("unexpected data after the announcement")
	}
	return body, nil
}

// postAndWait posts an announcement and waits for the node's result. The node
// handles announcements in the order in which they are posted.
func (a *announcementAPI) postAndWait(ctx context.Context, announcement core.Announcement) (announcementResult, bool) {
	resultChan := make(chan announcementResult, 1)
	a.postOrder.Lock()
	a.mu.Lock()
	a.waiting = append(a.waiting, resultChan)
	a.latest = announcement
	a.mu.Unlock()
	a.post(core.TargetAnnounced{Announcement: announcement})
	a.postOrder.Unlock()
	select {
	case result := <-resultChan:
		return result, true
	case <-ctx.Done():
		return announcementResult{}, false
	}
}

// deliverResult passes the node's result to the oldest waiting announcement.
func (a *announcementAPI) deliverResult(result announcementResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return
	}
	a.waiting[0] <- result
	a.waiting = a.waiting[1:]
}

// targetAddress returns the target's address in its latest announcement.
func (a *announcementAPI) targetAddress() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latest.Address
}

func (a *announcementAPI) handleDelete(w http.ResponseWriter, _ *http.Request) {
	a.post(core.TargetWithdrawn{})
	writeResponse(w, http.StatusOK, announcementResponse{Status: "withdrawn"})
}

func writeRefusal(w http.ResponseWriter, found []findings.Finding) {
	out := announcementResponse{Status: "refused"}
	for _, f := range found {
		out.Findings = append(out.Findings, announcementFinding{Key: f.Place.Key, Message: f.Message})
	}
	writeResponse(w, http.StatusUnprocessableEntity, out)
}

func writeResponse(w http.ResponseWriter, code int, body announcementResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
