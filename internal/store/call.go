package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/samber/oops"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// request is one call of the gateway.
type request struct {
	kind Call
	path string
	body any
	// nonIdempotent reports that a retried call may take effect twice.
	nonIdempotent bool
}

// noResponseError returns the error of a call that was sent but got no valid
// response.
func noResponseError(nonIdempotent bool) error {
	if nonIdempotent {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// call sends the request to one endpoint after the other, starting with the
// preferred one, until one responds, and decodes the response into dst. A write
// that may have taken effect is not retried.
func (e *Etcd) call(ctx context.Context, r request, dst any) error {
	body, err := json.Marshal(r.body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	first := int(e.preferred.Load())
	for i := range e.options.Endpoints {
		index := (first + i) % len(e.options.Endpoints)
		err = e.callEndpoint(ctx, r, e.options.Endpoints[index], body, dst)
		if err == nil {
			e.preferred.Store(int64(index))
			return nil
		}
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// callEndpoint sends the request to one endpoint and decodes its response.
func (e *Etcd) callEndpoint(ctx context.Context, r request, endpoint string, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.Timeout)
	defer cancel()
	response, err := e.send(ctx, r, endpoint, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := readBounded(response.Body, e.options.MaxResponse)
	if err == nil {
		err = json.Unmarshal(data, dst)
	}
	if err != nil {
		return callError(r, endpoint, noResponseError(r.nonIdempotent), err)
	}
	return nil
}

// send posts the request and returns the response if its status is 200. The
// caller closes the body.
func (e *Etcd) send(ctx context.Context, r request, endpoint string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+r.path, bytes.NewReader(body))
	if err != nil {
		return nil, callError(r, endpoint, ErrRejected, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	e.options.Counter.Count(r.kind)
	response, err := e.client.Do(httpRequest)
	if err != nil {
		return nil, callError(r, endpoint, noResponseError(r.nonIdempotent && connected.Load()), err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, callError(r, endpoint, statusError(response.StatusCode, r.nonIdempotent), decodeErrorBody(response))
}

// statusError maps a status other than 200 to an error of this package. A
// request that fails with a client error is rejected before anything is
// written; a server error may follow a write that was already proposed.
func statusError(status int, nonIdempotent bool) error {
	switch {
	case status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrRejected
	}
	return noResponseError(nonIdempotent)
}

// maxErrorBytes limits the response body of a failed call.
const maxErrorBytes = 4096

// decodeErrorBody returns the status and message of a failed call.
func decodeErrorBody(response *http.Response) error {
	data, err := readBounded(response.Body, maxErrorBytes)
	var body etcdjson.Error
	if err == nil && json.Unmarshal(data, &body) == nil && body.Message != "" {
		return fmt.Errorf("status %d: %s", response.StatusCode, body.Message)
	}
	return fmt.Errorf("status %d", response.StatusCode)
}

// callError wraps the cause of a failed call in outcome, the error of this
// package that callers test for.
func callError(r request, endpoint string, outcome, cause error) error {
	return oops.In("store").With("call", string(r.kind), "endpoint", endpoint).
		Wrapf(fmt.Errorf("%w: %w", outcome, cause), "%s at %s", r.kind, endpoint)
}

// readBounded reads r to its end and fails if it is longer than limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errResponseTooLarge
	}
	return data, nil
}
