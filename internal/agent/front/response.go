package front

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

const (
	// copyBufferSize is the size of the buffer between target and caller.
	copyBufferSize = 32 << 10
	// maxStoredAnswer bounds the body kept for a key, in bytes.
	maxStoredAnswer = 16 << 10
)

// readCloser gives a reader a Close that does nothing.
type readCloser struct{ io.Reader }

// Close does nothing.
func (readCloser) Close() error { return nil }

// Errors of passing on an answer.
var (
	errAnswerBroken = errors.New("the answer broke off")
	errCallerGone   = errors.New("the caller does not take the answer")
)

// passAnswer streams an answer to the caller. The target is empty for the
// answer of another agent, which has named its target itself. It returns the answer for
// storing if it is short enough and keep is set.
func passAnswer(w http.ResponseWriter, resp *http.Response, target string, keep bool) (*core.StoredResponse, error) {
	header := resp.Header.Clone()
	removeHopHeaders(header)
	if target != "" {
		removeOwnHeaders(header)
		header.Set(HeaderTarget, target)
	}
	maps.Copy(w.Header(), header)
	w.WriteHeader(resp.StatusCode)
	var kept bytes.Buffer
	err := copyBody(w, resp, &kept, keep)
	if err != nil {
		return nil, err
	}
	for name, values := range resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	if !keep || kept.Len() > maxStoredAnswer {
		return nil, nil
	}
	return &core.StoredResponse{Status: resp.StatusCode, Header: header, Body: kept.Bytes()}, nil
}

// copyBody copies the answer's body, and up to one byte more than
// maxStoredAnswer into kept.
func copyBody(w http.ResponseWriter, resp *http.Response, kept *bytes.Buffer, keep bool) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
		if room := maxStoredAnswer + 1 - kept.Len(); keep && room > 0 {
			kept.Write(buf[:min(n, room)])
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return errors.Join(errAnswerBroken, readErr)
		}
		if err := flusher.Flush(); err != nil {
			return errors.Join(errCallerGone, err)
		}
	}
}

// replay answers with a stored answer.
func replay(w http.ResponseWriter, a *core.StoredResponse) {
	maps.Copy(w.Header(), a.Header.Clone())
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// refuse answers with a refusal.
func refuse(w http.ResponseWriter, reason core.RefuseReason, notRun bool) {
	status, outcome := refusal(reason, notRun)
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderReason, reason.String())
	w.WriteHeader(status)
}

// refusal returns the status and the outcome that a refusal carries.
func refusal(reason core.RefuseReason, notRun bool) (status int, outcome string) {
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
