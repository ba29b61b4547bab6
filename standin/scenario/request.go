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
	// requestTimeout bounds one request to an admin address.
	requestTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer of an admin address.
	maxAnswerBytes = 256 << 20
)

// errStatus reports an answer with an error status.
var errStatus = errors.New("request was refused")

var client = &http.Client{Timeout: requestTimeout}

// request sends a request to the admin address of a name and returns the
// answer.
func (b *bench) request(method, name, path, body string) ([]byte, error) {
	url, err := b.adminURL(name, path)
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", url, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%w: %s %s: %s: %s", errStatus, method, url, resp.Status, strings.TrimSpace(string(answer)))
	}
	return answer, nil
}

// post sends a request without a body and drops the answer.
func (b *bench) post(name, path string) error {
	_, err := b.request(http.MethodPost, name, path, "")
	return err
}
