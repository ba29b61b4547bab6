package scenario

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// requestTimeout bounds a request to an admin address.
	requestTimeout = 5 * time.Second
	// maxResponseBytes bounds the response of an admin address.
	maxResponseBytes = 256 << 20
)

// errStatus is returned for a response with an error status.
var errStatus = errors.New("request was refused")

var client = &http.Client{Timeout: requestTimeout}

// sendRequest sends a request to the admin address of a process and returns the
// response body.
func (h *harness) sendRequest(method, name, path, body string) ([]byte, error) {
	url, err := h.adminURL(name, path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response of %s: %w", url, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%w: %s %s: %s: %s", errStatus, method, url, resp.Status, strings.TrimSpace(string(response)))
	}
	return response, nil
}

// post sends a POST request without a body and discards the response.
func (h *harness) post(name, path string) error {
	_, err := h.sendRequest(http.MethodPost, name, path, "")
	return err
}
