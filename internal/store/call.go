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

// request is one call to the gateway.
type request struct {
	kind Call
	path string
	body any
	// writes reports that repeating the call may take effect twice.
	writes bool
}

// unanswered is the error of a call that was sent and got no valid answer.
func unanswered(writes bool) error {
	if writes {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// call sends the request to one endpoint after the other, the preferred one
// first, until one answers. A write that may have taken effect is not sent
// again.
func (e *Etcd) call(ctx context.Context, r request, answer any) error {
	body, err := json.Marshal(r.body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	first := int(e.preferred.Load())
	for i := range e.options.Endpoints {
		index := (first + i) % len(e.options.Endpoints)
		err = e.callEndpoint(ctx, r, e.options.Endpoints[index], body, answer)
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

// callEndpoint sends the request to one endpoint and decodes its answer.
func (e *Etcd) callEndpoint(ctx context.Context, r request, endpoint string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.Timeout)
	defer cancel()
	response, err := e.send(ctx, r, endpoint, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := readBounded(response.Body, e.options.MaxResponse)
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return callError(r, endpoint, unanswered(r.writes), err)
	}
	return nil
}

// send posts the request and returns a response of status 200. The caller
// closes its body.
func (e *Etcd) send(ctx context.Context, r request, endpoint string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+r.path, bytes.NewReader(body))
	if err != nil {
		return nil, callError(r, endpoint, ErrRejected, err)
	}
	post.Header.Set("Content-Type", "application/json")
	e.options.Counter.Count(r.kind)
	response, err := e.client.Do(post)
	if err != nil {
		return nil, callError(r, endpoint, unanswered(r.writes && connected.Load()), err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, callError(r, endpoint, statusError(response.StatusCode, r.writes), readError(response))
}

// statusError tells what a status other than 200 says of the call's effect.
// Client errors are refused before anything is written; a server error may
// follow a write that was already proposed.
func statusError(status int, writes bool) error {
	switch {
	case status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrRejected
	}
	return unanswered(writes)
}

// maxErrorBytes bounds the body of a failed call, in bytes.
const maxErrorBytes = 4096

// readError returns the message of a failed call.
func readError(response *http.Response) error {
	data, err := readBounded(response.Body, maxErrorBytes)
	var body etcdjson.Error
	if err == nil && json.Unmarshal(data, &body) == nil && body.Message != "" {
		return fmt.Errorf("status %d: %s", response.StatusCode, body.Message)
	}
	return fmt.Errorf("status %d", response.StatusCode)
}

// callError wraps the cause of a failed call with the meaning it has for the
// caller.
func callError(r request, endpoint string, meaning, cause error) error {
	return oops.In("store").With("call", string(r.kind), "endpoint", endpoint).
		Wrapf(fmt.Errorf("%w: %w", meaning, cause), "%s at %s", r.kind, endpoint)
}

// readBounded reads everything, up to a limit in bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errTooLarge
	}
	return data, nil
}
