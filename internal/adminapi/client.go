package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// DefaultTimeout bounds one call of a Client.
const DefaultTimeout = 2 * time.Second

// ErrAnswerTooLarge reports an answer of more than MaxAnswerBytes.
var ErrAnswerTooLarge = errors.New("answer exceeds the size limit")

// StatusError reports an answer whose HTTP status is not 200.
type StatusError struct {
	Code    int
	Message string
}

// Error returns the HTTP status and the node's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.Code, e.Message)
}

// Client calls the admin API of nodes. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client whose calls end after the timeout; zero means
// DefaultTimeout.
func NewClient(timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Status asks a node for its status and the members that the filter selects.
func (c *Client) Status(ctx context.Context, node netip.AddrPort, members MemberFilter) (*Status, error) {
	query := url.Values{ParamMembers: {string(members)}}
	return get[Status](ctx, c, node, PathStatus, query)
}

// Flows asks an agent for its flows of the service, or of any service if the
// name is empty, and lists at most limit of them.
func (c *Client) Flows(ctx context.Context, node netip.AddrPort, service model.ServiceName, limit int) (*Flows, error) {
	query := url.Values{ParamLimit: {strconv.Itoa(limit)}}
	if service != "" {
		query.Set(ParamService, string(service))
	}
	return get[Flows](ctx, c, node, PathFlows, query)
}

// Explain asks a node why the caller's flow to the service is where it is.
func (c *Client) Explain(ctx context.Context, node netip.AddrPort, service model.ServiceName, caller netip.AddrPort) (*Explanation, error) {
	query := url.Values{ParamService: {string(service)}, ParamCaller: {caller.String()}}
	return get[Explanation](ctx, c, node, PathExplain, query)
}

// get calls one path and decodes the answer.
func get[T any](ctx context.Context, c *Client, node netip.AddrPort, path string, query url.Values) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: node.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, withoutURL(err)
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemError(resp.StatusCode, body)
	}
	answer := new(T)
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, fmt.Errorf("decode the answer of %s%s: %w", node, path, err)
	}
	return answer, nil
}

// withoutURL returns the reason of a failed call. Callers know the address.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// readBounded reads at most MaxAnswerBytes.
func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrAnswerTooLarge
	}
	return body, nil
}

// problemError converts the body of a failed call.
func problemError(code int, body []byte) error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Message == "" {
		p.Message = http.StatusText(code)
	}
	return &StatusError{Code: code, Message: p.Message}
}
