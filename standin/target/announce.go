package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

const (
	announcePath = "/v1/target"
	// announceInterval is how often a target repeats its announcement.
	announceInterval = 2 * time.Second
	// pendingInterval is how soon it tries again while the agent has no
	// configuration for it.
	pendingInterval = 250 * time.Millisecond
	announceTimeout = 2 * time.Second
	maxReplyBytes   = 64 << 10
)

// announcement is what a target tells its agent.
type announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Instance    string `json:"instance"`
	Draining    bool   `json:"draining"`
}

// refusal is an agent's answer to an announcement that it refuses.
type refusal struct {
	Findings []json.RawMessage `json:"findings"`
}

// announcer repeats a target's announcement to its agent.
type announcer struct {
	t      *Target
	client *http.Client
	url    string
	// soon asks for an announcement without waiting for the interval.
	soon chan struct{}
	// mu keeps an announcement from overtaking its withdrawal.
	mu sync.Mutex
}

func newAnnouncer(t *Target) *announcer {
	return &announcer{
		t: t, client: &http.Client{Timeout: announceTimeout},
		url: "http://" + t.cfg.Announce + announcePath, soon: make(chan struct{}, 1),
	}
}

// loop announces until the context ends.
func (a *announcer) loop(ctx context.Context) {
	for {
		wait := a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.soon:
		case <-time.After(wait):
		}
	}
}

// hurry announces without waiting for the interval.
func (a *announcer) hurry() {
	select {
	case a.soon <- struct{}{}:
	default:
	}
}

// announce sends one announcement and returns when to send the next.
func (a *announcer) announce(ctx context.Context) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.t.left.Load() {
		return announceInterval
	}
	status, body, err := a.send(ctx, http.MethodPut, a.t.announcement())
	a.t.ledger.count(func(s *workload.TargetStats) {
		s.Accepted = err == nil && status == http.StatusOK
	})
	switch {
	case err != nil:
		a.t.log.Log("msg", "agent not reached", "err", err)
	case status == http.StatusAccepted:
		return pendingInterval
	case status == http.StatusUnprocessableEntity:
		a.t.log.Log("msg", "announcement refused", "findings", findingsIn(body))
	case status != http.StatusOK:
		a.t.log.Log("msg", "unexpected answer of the agent", "status", status)
	}
	return announceInterval
}

// leave withdraws the announcement and stops repeating it.
func (a *announcer) leave(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.t.left.Swap(true) {
		return
	}
	status, _, err := a.send(ctx, http.MethodDelete, a.t.announcement())
	if err != nil || status >= http.StatusMultipleChoices {
		a.t.log.Log("msg", "announcement not withdrawn", "status", status, "err", err)
	}
}

func (a *announcer) send(ctx context.Context, method string, content announcement) (int, []byte, error) {
	body, err := json.Marshal(content)
	if err != nil {
		return 0, nil, fmt.Errorf("encode announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, reply, err
}

// announcement returns what the target says of itself now.
func (t *Target) announcement() announcement {
	return announcement{
		Target: t.cfg.Name, Service: t.cfg.Service, Address: t.address,
		Slots: t.cfg.Slots, Connections: t.cfg.Connections,
		Instance: t.cfg.Instance, Draining: t.draining.Load(),
	}
}

func findingsIn(body []byte) string {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil {
		return string(body)
	}
	lines := make([]string, len(r.Findings))
	for i, f := range r.Findings {
		lines[i] = string(f)
	}
	return strings.Join(lines, "; ")
}
