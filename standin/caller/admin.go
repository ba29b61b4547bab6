package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// maxBalancersBytes bounds a posted list of balancers.
const maxBalancersBytes = 64 << 10

// balancerCount tells how many datagrams a balancer was sent.
type balancerCount struct {
	Balancer string `json:"balancer"`
	Sent     uint64 `json:"sent"`
}

// summary is the state of a load.
type summary struct {
	workload.Counts
	Skipped     int64           `json:"skipped"`
	FailedOpens int64           `json:"failed_opens"`
	Balancers   []balancerCount `json:"balancers"`
}

// startAdmin serves the control endpoints; see scenario/README.md.
func (c *Caller) startAdmin() error {
	if c.cfg.Admin == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.cfg.Admin)
	if err != nil {
		return fmt.Errorf("listen on the admin address: %w", err)
	}
	c.admin = &http.Server{Handler: c.adminHandler()}
	go func() {
		if err := c.admin.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.log.Log("msg", "control endpoints failed", "err", err)
		}
	}()
	return nil
}

func (c *Caller) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /balancers", c.adminBalancers)
	mux.HandleFunc("POST /allow", c.adminAllow)
	mux.HandleFunc("POST /cut", c.adminCut)
	mux.HandleFunc("POST /stop", c.adminStop)
	mux.HandleFunc("GET /summary", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.summary()) })
	mux.HandleFunc("GET /flows", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.recorder.openFlows()) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Ledger()) })
	return mux
}

func (c *Caller) summary() summary {
	out := summary{Counts: c.recorder.counts(), Skipped: c.skipped.Load(), FailedOpens: c.failedOpens.Load()}
	counts := c.fabric.counts()
	for _, b := range c.fabric.balancerList() {
		out.Balancers = append(out.Balancers, balancerCount{Balancer: b.String(), Sent: counts[b]})
	}
	return out
}

// adminBalancers replaces the balancers by the addresses in the body.
func (c *Caller) adminBalancers(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBalancersBytes))
	if err != nil {
		http.Error(w, "the body is incomplete", http.StatusBadRequest)
		return
	}
	list, err := ParseBalancers(string(text), c.cfg.Address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.fabric.setBalancers(list)
	w.WriteHeader(http.StatusNoContent)
}

// adminAllow lets flows move away from a target.
func (c *Caller) adminAllow(w http.ResponseWriter, r *http.Request) {
	target := r.URL.Query().Get("target")
	if target == "" {
		http.Error(w, "target is missing", http.StatusBadRequest)
		return
	}
	c.recorder.allowMoves(target)
	w.WriteHeader(http.StatusNoContent)
}

// adminCut drops all datagrams, until on=false.
func (c *Caller) adminCut(w http.ResponseWriter, r *http.Request) {
	on := true
	if text := r.URL.Query().Get("on"); text != "" {
		var err error
		if on, err = strconv.ParseBool(text); err != nil {
			http.Error(w, "on must be true or false", http.StatusBadRequest)
			return
		}
	}
	c.fabric.cut.Store(on)
	w.WriteHeader(http.StatusNoContent)
}

// adminStop ends the load early.
func (c *Caller) adminStop(w http.ResponseWriter, _ *http.Request) {
	c.stop()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client went away
}
