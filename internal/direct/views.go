package direct

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// HTTP paths at the metrics address that serve a node's state to operators.
const (
	ViewPath = "/direct/view"
	FlowPath = "/direct/flow"
)

// withViewHandlers adds handlers of the core's views to the metrics handler.
func (n *node) withViewHandlers(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+ViewPath, func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		v := n.core.View(time.Now())
		n.mu.Unlock()
		writeJSON(w, v)
	})
	mux.HandleFunc("GET "+FlowPath, func(w http.ResponseWriter, r *http.Request) {
		f, err := steering.ParseFlow(r.URL.Query().Get("flow"))
		if err != nil {
			http.Error(w, "flow: "+err.Error(), http.StatusBadRequest)
			return
		}
		n.mu.Lock()
		v := n.core.Explain(time.Now(), f)
		n.mu.Unlock()
		writeJSON(w, v)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
