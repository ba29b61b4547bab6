package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors of an exchange.
var (
	errNotSent  = errors.New("no byte of the request was sent")
	errUnframed = errors.New("the answer's end cannot be told from a broken connection")
)

// exchange is one HTTP/1.1 request and its answer on a connection of its own.
type exchange struct {
	conn    *countingConn
	release func() bool // stops watching the context
}

// startExchange sends the request and reads the answer's header. When the
// context ends, the connection is shut down. An error that wraps errNotSent
// proves that the other side got nothing.
func startExchange(ctx context.Context, conn net.Conn, req *http.Request) (*exchange, *http.Response, error) {
	x := &exchange{conn: &countingConn{Conn: conn}}
	x.release = context.AfterFunc(ctx, x.interrupt)
	if ctx.Err() != nil {
		return x, nil, errors.Join(errNotSent, ctx.Err())
	}
	go func() { _ = req.Write(x.conn) }()
	resp, err := x.readHeader(req)
	if err == nil {
		return x, resp, nil
	}
	err = errors.Join(err, ctx.Err())
	if !x.conn.stop() {
		return x, nil, errors.Join(errNotSent, err)
	}
	return x, nil, err
}

// readHeader returns the final answer, past informational ones.
func (x *exchange) readHeader(req *http.Request) (*http.Response, error) {
	r := bufio.NewReader(x.conn)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, checkFraming(req, resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUnframed
		}
	}
}

// checkFraming rejects answers that end with the connection: one that broke
// off would look complete.
func checkFraming(req *http.Request, resp *http.Response) error {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength >= 0 || chunked || req.Method == http.MethodHead {
		return nil
	}
	return errUnframed
}

// interrupt ends reads and writes at once. The connection itself stays open,
// so that closeWait can see the other side stop.
func (x *exchange) interrupt() {
	x.conn.stop()
	past := time.Unix(1, 0)
	_ = x.conn.SetDeadline(past)
}

// lingerTimeout bounds how long a connection is watched for the other side to
// close it.
const lingerTimeout = 30 * time.Second

// closeWait ends the exchange. It shuts the connection down towards the other
// side and returns when that side has closed it too, or after lingerTimeout.
func (x *exchange) closeWait() {
	x.release()
	x.conn.stop()
	defer func() { _ = x.conn.Conn.Close() }()
	half, ok := x.conn.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = x.conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, x.conn.Conn)
}

// countingConn notes whether any byte was handed to the network.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	wrote   bool
	stopped bool
}

// Write notes the attempt before it happens: a failed write may have sent
// something.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	stopped := c.stopped
	c.wrote = c.wrote || !stopped
	c.mu.Unlock()
	if stopped {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// stop fails all further writes and reports whether there were any before.
func (c *countingConn) stop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.wrote
}
