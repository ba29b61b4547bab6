package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Header names between callers, agents and targets.
const (
	// HeaderTimeout is the remaining time until the deadline, in milliseconds.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderIdempotencyKey makes a non-idempotent request repeatable.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies a request in logs; it is passed through.
	HeaderRequestID = "Request-Id"
	// HeaderOutcome says what became of a request that was not answered.
	HeaderOutcome = "Amaranthwheel-Outcome"
	// HeaderReason says why a request was refused.
	HeaderReason = "Amaranthwheel-Reason"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Amaranthwheel-Target"

	headerCaller  = "Amaranthwheel-Caller"
	headerVisited = "Amaranthwheel-Visited"
	headerReplay  = "Amaranthwheel-Replay"
	headerPrefix  = "Amaranthwheel-"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	// OutcomeKeyCompleted says that an earlier request with the same key was answered.
	OutcomeKeyCompleted = "done"
	// OutcomeKeyInProgress says that an earlier request with the same key runs.
	OutcomeKeyInProgress = "in-progress"
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopHeaders removes the headers that concern one connection.
func removeHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// removeOwnHeaders removes the headers that only agents may set.
func removeOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// maxTimeout bounds the time that a caller may ask for.
const maxTimeout = 24 * time.Hour

// deadlineOf returns the caller's deadline, or zero if it named none that is
// valid.
func deadlineOf(h http.Header, now time.Time) time.Time {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil || ms < 0 {
		return time.Time{}
	}
	if ms > maxTimeout.Milliseconds() {
		return now.Add(maxTimeout)
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// setTimeout passes on the time that remains until the deadline, at least one
// millisecond.
func setTimeout(h http.Header, deadline, now time.Time) {
	ms := max(deadline.Sub(now).Milliseconds(), 1)
	h.Set(HeaderTimeout, strconv.FormatInt(ms, 10))
}

// idempotent reports whether the method is defined as idempotent (RFC 9110,
// section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func joinNodes(nodes []model.NodeID) string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = string(n)
	}
	return strings.Join(names, ",")
}

func splitNodes(field string) []model.NodeID {
	var nodes []model.NodeID
	for name := range strings.SplitSeq(field, ",") {
		if name != "" {
			nodes = append(nodes, model.NodeID(name))
		}
	}
	return nodes
}
