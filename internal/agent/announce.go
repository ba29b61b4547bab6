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
	// announcePath is where targets announce themselves.
	announcePath = "/v1/target"
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 64 << 10
	// announceTimeout bounds the wait for the node's answer.
	announceTimeout = 2 * time.Second
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

// verdict is the node's answer to an announcement. Without findings the target
// is accepted; pending means that the configuration has not arrived yet.
type verdict struct {
	pending  bool
	findings []findings.Finding
}

// announceAnswer is the JSON body of every answer.
type announceAnswer struct {
	Status   string            `json:"status"`
	Findings []announceFinding `json:"findings,omitempty"`
}

// announceFinding is one thing that is wrong with an announcement.
type announceFinding struct {
	Key     string `json:"key"`
	Message string `json:"message"`
}

// announcer serves the API by which targets announce themselves.
type announcer struct {
	post func(core.Event)

	// order keeps the order of waiting the same as that of the posted events.
	order sync.Mutex

	mu      sync.Mutex
	waiting []chan verdict
	newest  core.Announcement
}

func (a *announcer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+announcePath, a.put)
	mux.HandleFunc("DELETE "+announcePath, a.delete)
	return mux
}

func (a *announcer) put(w http.ResponseWriter, r *http.Request) {
	body, err := readAnnouncement(w, r)
	if err != nil {
		refuse(w, []findings.Finding{{Place: findings.Place{Key: "body"}, Message: err.Error()}})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	v, ok := a.announce(ctx, core.Announcement(body))
	switch {
	case !ok || v.pending:
		writeAnswer(w, http.StatusAccepted, announceAnswer{Status: "pending"})
	case len(v.findings) > 0:
		refuse(w, v.findings)
	default:
		writeAnswer(w, http.StatusOK, announceAnswer{Status: "accepted"})
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
		return body, errors.New("data after the announcement")
	}
	return body, nil
}

// announce posts an announcement and waits for the node's answer. The node
// answers announcements in their order.
func (a *announcer) announce(ctx context.Context, announcement core.Announcement) (verdict, bool) {
	answered := make(chan verdict, 1)
	a.order.Lock()
	a.mu.Lock()
	a.waiting = append(a.waiting, answered)
	a.newest = announcement
	a.mu.Unlock()
	a.post(core.TargetAnnounced{Announcement: announcement})
	a.order.Unlock()
	select {
	case v := <-answered:
		return v, true
	case <-ctx.Done():
		return verdict{}, false
	}
}

// answer passes the node's answer to the oldest waiting announcement.
func (a *announcer) answer(v verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return
	}
	a.waiting[0] <- v
	a.waiting = a.waiting[1:]
}

// address returns the target's address in its newest announcement.
func (a *announcer) address() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest.Address
}

func (a *announcer) delete(w http.ResponseWriter, _ *http.Request) {
	a.post(core.TargetWithdrawn{})
	writeAnswer(w, http.StatusOK, announceAnswer{Status: "withdrawn"})
}

func refuse(w http.ResponseWriter, found []findings.Finding) {
	out := announceAnswer{Status: "refused"}
	for _, f := range found {
		out.Findings = append(out.Findings, announceFinding{Key: f.Place.Key, Message: f.Message})
	}
	writeAnswer(w, http.StatusUnprocessableEntity, out)
}

func writeAnswer(w http.ResponseWriter, code int, body announceAnswer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
