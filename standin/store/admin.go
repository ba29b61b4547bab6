package store

import "net/http"

// AdminHandler serves the switches:
//
//	POST /faults       sets the Faults given as JSON
//	POST /lapse        ends all leases
//	POST /drop-watches ends all watches
//	GET  /counts       returns the Counts as JSON
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := readRequest(w, r, &f); err != nil {
			writeError(w, err)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("POST /lapse", func(http.ResponseWriter, *http.Request) { s.ExpireAllLeases() })
	mux.HandleFunc("POST /drop-watches", func(http.ResponseWriter, *http.Request) { s.DropWatches() })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}
