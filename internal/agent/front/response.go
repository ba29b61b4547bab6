package front

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

const (
	// copyBufferSize is the size of the buffer for copying response bodies.
	copyBufferSize = 32 << 10
	// maxStoredBody is the largest response body stored for an idempotency key,
	// in bytes.
	maxStoredBody = 16 << 10
)

// nopCloser adds a no-op Close to a reader.
type nopCloser struct{ io.Reader }

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }

// Errors of forwarding a response.
var (
	errResponseIncomplete = errors.New("the response is incomplete")
	errCallerWrite        = errors.New("the response could not be sent to the caller")
)

// streamResponse streams a response to the caller. The target is empty for a
// response from another agent, which has set the target's name itself. If store
// is set and the body is at most maxStoredBody long, streamResponse returns the
// response for storing.
func streamResponse(w http.ResponseWriter, resp *http.Response, target string, store bool) (*core.StoredResponse, error) {
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	if target != "" {
		removeInternalHeaders(header)
		header.Set(HeaderTarget, target)
	}
	maps.Copy(w.Header(), header)
	w.WriteHeader(resp.StatusCode)
	var stored bytes.Buffer
	err := copyBody(w, resp, &stored, store)
	if err != nil {
		return nil, err
	}
	for name, values := range resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	if !store || stored.Len() > maxStoredBody {
		return nil, nil
	}
	return &core.StoredResponse{Status: resp.StatusCode, Header: header, Body: stored.Bytes()}, nil
}

// copyBody copies the response's body to the caller and, if store is set, up to
// maxStoredBody+1 bytes of it to stored.
func copyBody(w http.ResponseWriter, resp *http.Response, stored *bytes.Buffer, store bool) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Join(errCallerWrite, err)
			}
		}
		if free := maxStoredBody + 1 - stored.Len(); store && free > 0 {
			stored.Write(buf[:min(n, free)])
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return errors.Join(errResponseIncomplete, readErr)
		}
		if err := flusher.Flush(); err != nil {
			return errors.Join(errCallerWrite, err)
		}
	}
}

// writeStoredResponse replays a stored response.
func writeStoredResponse(w http.ResponseWriter, stored *core.StoredResponse) {
	maps.Copy(w.Header(), stored.Header.Clone())
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// writeRefusal writes the response to a refused request.
func writeRefusal(w http.ResponseWriter, reason core.RefuseReason, notRun bool, retryAfter time.Duration) {
	status, outcome := refusalStatus(reason, notRun)
	if notRun && retryAfter > 0 {
		w.Header().Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
		w.Header().Set(HeaderRetryAfterMS, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderReason, reason.String())
	w.WriteHeader(status)
}

// refusalStatus returns the HTTP status and the outcome of a refusal.
func refusalStatus(reason core.RefuseReason, notRun bool) (status int, outcome string) {
	switch {
	case reason == core.RefuseKeyReused:
		return http.StatusUnprocessableEntity, OutcomeNotRun
	case reason == core.RefuseKeyCompleted:
		return http.StatusConflict, OutcomeKeyCompleted
	case reason == core.RefuseKeyInProgress:
		return http.StatusConflict, OutcomeKeyInProgress
	case notRun:
		return http.StatusServiceUnavailable, OutcomeNotRun
	case reason == core.RefuseDeadlineExceeded:
		return http.StatusGatewayTimeout, OutcomeUnknown
	}
	return http.StatusBadGateway, OutcomeUnknown
}
