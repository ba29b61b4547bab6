package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// adminHandler returns the control endpoints; see scenario/README.md.
func (t *Target) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cold", t.adminCold)
	mux.HandleFunc("POST /drain", t.adminDrain)
	mux.HandleFunc("POST /leave", t.adminLeave)
	mux.HandleFunc("POST /slow", t.adminSlow)
	mux.HandleFunc("POST /cut", t.adminCut)
	mux.HandleFunc("POST /lie", t.adminLie)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Ledger()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Ledger().Stats) })
	mux.HandleFunc("GET "+healthPath, t.serveHealth)
	mux.HandleFunc("GET "+loadPath, t.serveLoad)
	return mux
}

func (t *Target) adminCold(w http.ResponseWriter, _ *http.Request) {
	t.capacity.turnCold(time.Now())
	t.log.Log("msg", "turned cold")
	w.WriteHeader(http.StatusNoContent)
}

// adminDrain announces that the target is draining, or no longer is with
// on=false.
func (t *Target) adminDrain(w http.ResponseWriter, r *http.Request) {
	on, ok := switchValue(w, r)
	if !ok {
		return
	}
	t.draining.Store(on)
	t.announcer.hurry()
	w.WriteHeader(http.StatusNoContent)
}

// adminLeave withdraws the announcement, or announces again with on=false.
// The target keeps serving.
func (t *Target) adminLeave(w http.ResponseWriter, r *http.Request) {
	on, ok := switchValue(w, r)
	if !ok {
		return
	}
	if on {
		t.leave(r.Context())
	} else {
		t.left.Store(false)
		t.announcer.hurry()
	}
	w.WriteHeader(http.StatusNoContent)
}

// adminSlow adds time to each request's work.
func (t *Target) adminSlow(w http.ResponseWriter, r *http.Request) {
	extra, err := milliseconds(r.URL.Query().Get("ms"))
	if err != nil {
		http.Error(w, "ms is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	t.slow.Store(int64(extra))
	w.WriteHeader(http.StatusNoContent)
}

// adminCut closes connections unanswered, until on=false.
func (t *Target) adminCut(w http.ResponseWriter, r *http.Request) {
	on, ok := switchValue(w, r)
	if !ok {
		return
	}
	t.cut.Store(on)
	w.WriteHeader(http.StatusNoContent)
}

// adminLie sets what the health and load endpoints claim. Parameters left out
// tell the truth.
func (t *Target) adminLie(w http.ResponseWriter, r *http.Request) {
	var l lie
	query := r.URL.Query()
	if text := query.Get("health"); text != "" {
		claimed := health(text)
		if claimed != healthOK && claimed != healthBad {
			http.Error(w, `health must be "ok" or "bad"`, http.StatusBadRequest)
			return
		}
		l.health = &claimed
	}
	if text := query.Get("load"); text != "" {
		claimed, err := strconv.ParseFloat(text, 64)
		if err != nil {
			http.Error(w, "load is not a number", http.StatusBadRequest)
			return
		}
		l.load = &claimed
	}
	t.reporter.setLie(l)
	w.WriteHeader(http.StatusNoContent)
}

// switchValue reads the parameter on, which is true when left out.
func switchValue(w http.ResponseWriter, r *http.Request) (on, ok bool) {
	text := r.URL.Query().Get("on")
	if text == "" {
		return true, true
	}
	on, err := strconv.ParseBool(text)
	if err != nil {
		http.Error(w, "on must be true or false", http.StatusBadRequest)
		return false, false
	}
	return on, true
}

// Ledger returns a copy of the target's ledger.
func (t *Target) Ledger() workload.TargetLedger {
	out := t.ledger.snapshot()
	out.Target = t.cfg.Name
	out.Instance = t.cfg.Instance
	out.Service = t.cfg.Service
	state := t.capacity.state(time.Now())
	out.Stats.Capacity = state.bears
	out.Stats.Running = state.running
	out.Stats.PeakRunning = state.peak
	out.Stats.Draining = t.draining.Load()
	out.Stats.Withdrawn = t.left.Load()
	return out
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client went away
}
