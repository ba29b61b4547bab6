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

// DefaultTimeout is the default timeout of one call of a Client.
const DefaultTimeout = 2 * time.Second

// ErrResponseTooLarge reports a response longer than MaxResponseBytes.
var ErrResponseTooLarge = errors.New("response exceeds the size limit")

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct {
	Code    int
	Message string
}

// Error returns the HTTP status and the node's error message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.Code, e.Message)
}

// Client calls the admin API of nodes. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	timeout    time.Duration
}

// NewClient returns a client with the timeout for each call; zero means
// DefaultTimeout.
func NewClient(timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{httpClient: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// Status returns the status of a node and the members that the filter selects.
func (c *Client) Status(ctx context.Context, node netip.AddrPort, members MemberFilter) (*Status, error) {
	query := url.Values{ParamMembers: {string(members)}}
	return getJSON[Status](ctx, c, node, PathStatus, query)
}

// Flows returns at most limit local flows of an agent for the service, or for
// any service if the name is empty.
func (c *Client) Flows(ctx context.Context, node netip.AddrPort, service model.ServiceName, limit int) (*Flows, error) {
	query := url.Values{ParamLimit: {strconv.Itoa(limit)}}
	if service != "" {
		query.Set(ParamService, string(service))
	}
	return getJSON[Flows](ctx, c, node, PathFlows, query)
}

// Explain returns a node's explanation of where the caller's flow to the
// service is placed and why.
func (c *Client) Explain(ctx context.Context, node netip.AddrPort, service model.ServiceName, caller netip.AddrPort) (*Explanation, error) {
	query := url.Values{ParamService: {string(service)}, ParamCaller: {caller.String()}}
	return getJSON[Explanation](ctx, c, node, PathExplain, query)
}

// getJSON sends a GET request to one path and decodes the response.
func getJSON[T any](ctx context.Context, c *Client, node netip.AddrPort, path string, query url.Values) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: node.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, unwrapURLError(err)
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, newStatusError(resp.StatusCode, body)
	}
	value := new(T)
	if err := json.Unmarshal(body, value); err != nil {
		return nil, fmt.Errorf("decode the response of %s%s: %w", node, path, err)
	}
	return value, nil
}

// unwrapURLError returns the cause of a failed call without the URL, which the
// caller of the function knows.
func unwrapURLError(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}

// readBody reads a response body of at most MaxResponseBytes.
func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	return body, nil
}

// newStatusError returns the error of a response whose HTTP status is not 200,
// with the message of its Problem or else the text of the status.
func newStatusError(code int, body []byte) error {
	var problem Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Message == "" {
		problem.Message = http.StatusText(code)
	}
	return &StatusError{Code: code, Message: problem.Message}
}
