package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Names of headers that callers, agents and targets exchange.
const (
	// HeaderTimeout contains the time until the deadline, in milliseconds.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderIdempotencyKey allows a caller to retry a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies a request in logs; it is passed through.
	HeaderRequestID = "Request-Id"
	// HeaderOutcome reports the outcome of a request without a target's response.
	HeaderOutcome = "Amaranthwheel-Outcome"
	// HeaderReason reports why a request was refused.
	HeaderReason = "Amaranthwheel-Reason"
	// HeaderRetryAfter is the time after which a refused request may be retried, in whole
	// seconds (RFC 9110), HeaderRetryAfterMS the same in milliseconds.
	HeaderRetryAfter   = "Retry-After"
	HeaderRetryAfterMS = "Amaranthwheel-Retry-After-Ms"
	// HeaderTarget names the target that sent the response.
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
	// OutcomeKeyCompleted means that an earlier request with the same key has
	// completed.
	OutcomeKeyCompleted = "done"
	// OutcomeKeyInProgress means that an earlier request with the same key is
	// running.
	OutcomeKeyInProgress = "in-progress"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopByHopHeaders removes the headers that apply to one connection.
func removeHopByHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// removeInternalHeaders removes the headers that only agents may set.
func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// maxTimeout bounds the timeout that a caller may set.
const maxTimeout = 24 * time.Hour

// requestDeadline returns the caller's deadline, or zero if the caller sent none
// or an invalid one.
func requestDeadline(h http.Header, now time.Time) time.Time {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil || ms < 0 {
		return time.Time{}
	}
	if ms > maxTimeout.Milliseconds() {
		return now.Add(maxTimeout)
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// setTimeoutHeader sets HeaderTimeout to the time until the deadline, at least one
// millisecond.
func setTimeoutHeader(h http.Header, deadline, now time.Time) {
	ms := max(deadline.Sub(now).Milliseconds(), 1)
	h.Set(HeaderTimeout, strconv.FormatInt(ms, 10))
}

// isIdempotent reports whether the method is defined as idempotent (RFC 9110,
// section 9.2.2).
func isIdempotent(method string) bool {
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
