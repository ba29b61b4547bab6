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
	errNotSent  = errors.New("the request was not sent")
	errUnframed = errors.New("the response has no length: its end cannot be distinguished from a broken connection")
)

// exchange is one HTTP/1.1 request and its response on a dedicated connection.
type exchange struct {
	conn         *trackedConn
	stopWatching func() bool // stops watching the context
}

// startExchange sends the request and reads the response's header. When the
// context is done, reads and writes of the connection fail. An error that wraps
// errNotSent guarantees that the peer received nothing.
func startExchange(ctx context.Context, conn net.Conn, req *http.Request) (*exchange, *http.Response, error) {
	x := &exchange{conn: &trackedConn{Conn: conn}}
	x.stopWatching = context.AfterFunc(ctx, x.interrupt)
	if ctx.Err() != nil {
		return x, nil, errors.Join(errNotSent, ctx.Err())
	}
	go func() { _ = req.Write(x.conn) }()
	resp, err := x.readHeader(req)
	if err == nil {
		return x, resp, nil
	}
	err = errors.Join(err, ctx.Err())
	if !x.conn.stopWrites() {
		return x, nil, errors.Join(errNotSent, err)
	}
	return x, nil, err
}

// readHeader skips informational responses and returns the final one.
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

// checkFraming rejects responses that are delimited by the end of the connection,
// because a truncated one would look complete.
func checkFraming(req *http.Request, resp *http.Response) error {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength >= 0 || chunked || req.Method == http.MethodHead {
		return nil
	}
	return errUnframed
}

// interrupt makes reads and writes fail immediately. The connection stays open,
// so that closeAndWait can detect when the peer closes it.
func (x *exchange) interrupt() {
	x.conn.stopWrites()
	expired := time.Unix(1, 0)
	_ = x.conn.SetDeadline(expired)
}

// lingerTimeout bounds the wait for the peer to close a connection.
const lingerTimeout = 30 * time.Second

// closeAndWait ends the exchange. It closes the write side of the connection and
// returns when the peer has closed its side too, or after lingerTimeout.
func (x *exchange) closeAndWait() {
	x.stopWatching()
	x.conn.stopWrites()
	defer func() { _ = x.conn.Conn.Close() }()
	halfCloser, ok := x.conn.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = x.conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, x.conn.Conn)
}

// trackedConn records whether any byte was passed to the network.
type trackedConn struct {
	net.Conn

	mu            sync.Mutex
	written       bool
	writesStopped bool
}

// Write sets written before it writes, because a failed write may have sent
// some bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	writesStopped := c.writesStopped
	c.written = c.written || !writesStopped
	c.mu.Unlock()
	if writesStopped {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// stopWrites makes all further writes fail and reports whether there were any
// before.
func (c *trackedConn) stopWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written
}
