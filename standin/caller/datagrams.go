package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// datagramFlow is one UDP flow of a flow service. Each datagram is a request
// that an echo answers.
type datagramFlow struct {
	caller *Caller
	id     string
	socket *fabricConn

	mu sync.Mutex
	// pending holds the datagrams that have no answer yet, by payload.
	pending map[string]workload.Request
	// target and sequence are those of the last echo.
	target   string
	sequence uint64
	answered time.Time
	// broken is the cause, once the flow is broken.
	broken string
}

// longDatagramFlow keeps one flow and opens a new one when it breaks.
func (c *Caller) longDatagramFlow(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		f, err := c.openDatagramFlow()
		if err != nil {
			c.openFailed(ctx, err)
			return
		}
		f.run(ctx, rng)
	}
}

func (c *Caller) openDatagramFlow() (*datagramFlow, error) {
	number := c.flowNumber.Add(1)
	socket, err := c.fabric.listen(number)
	if err != nil {
		return nil, err
	}
	f := &datagramFlow{
		caller: c, id: c.flowID(number), socket: socket,
		pending: make(map[string]workload.Request), answered: time.Now(),
	}
	c.recorder.openFlow(workload.Flow{
		ID: f.id, Service: c.cfg.Service, Address: socket.LocalAddr().String(),
		LongLived: true, Opened: time.Now(),
	})
	return f, nil
}

// run sends datagrams until the context ends or the flow is broken, and waits
// for the last answers.
func (f *datagramFlow) run(ctx context.Context, rng *rand.Rand) {
	var reader sync.WaitGroup
	reader.Go(f.receive)
	interval := f.caller.cfg.SessionInterval
	for f.usable() && f.caller.takeRequest() {
		f.send(rng)
		if !sleep(ctx, interval) {
			break
		}
	}
	deadline := time.Now().Add(f.caller.cfg.Timeout)
	for f.usable() && f.unanswered() > 0 && time.Now().Before(deadline) {
		time.Sleep(min(interval, reopenDelay))
	}
	f.socket.Close()
	reader.Wait()
	f.finish()
}

// send sends one datagram.
func (f *datagramFlow) send(rng *rand.Rand) {
	r := workload.Request{
		ID: f.caller.requestID(), Service: f.caller.cfg.Service, Flow: f.id,
		Method: workload.MethodDatagram, Sent: time.Now(),
	}
	payload := []byte(r.ID + "\n")
	size := min(f.caller.cfg.MinSize, workload.MaxDatagramSize)
	for int64(len(payload)) < size {
		payload = append(payload, byte(rng.Uint32()))
	}
	r.Size = int64(len(payload))
	r.Body, _ = workload.ComputeDigest(bytes.NewReader(payload)) // a buffer never fails
	f.mu.Lock()
	f.pending[string(payload)] = r
	f.mu.Unlock()
	f.caller.recorder.sent(r.Sent)
	_, _ = f.socket.WriteTo(payload, nil) // a lost datagram has no answer
}

// receive reads echoes until the socket closes.
func (f *datagramFlow) receive() {
	buf := make([]byte, 2*workload.MaxDatagramSize)
	for {
		n, _, err := f.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.caller.log.Log("msg", "datagram not received", "err", err)
			return
		}
		f.accept(buf[:n], time.Now())
	}
}

// accept matches an echo with its datagram. What matches none is crossed,
// unless it is an echo that came twice.
func (f *datagramFlow) accept(datagram []byte, now time.Time) {
	echo, err := workload.DecodeEcho(datagram)
	if err != nil {
		f.crossed(err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.pending[string(echo.Payload)]
	if !ok {
		return
	}
	delete(f.pending, string(echo.Payload))
	f.checkSequence(&echo)
	f.answered = now
	r.Done = now
	r.Target = echo.Target
	r.ResponseID = r.ID
	r.Response = r.Body
	r.Outcome = workload.RequestAnswered
	f.caller.recorder.done(r)
}

// checkSequence breaks the flow if its target has lost its state. Echoes may
// overtake each other, so only a restart from 1 counts.
func (f *datagramFlow) checkSequence(echo *workload.Echo) {
	restarted := echo.Target == f.target && echo.Sequence == 1 && f.sequence > 1
	if restarted && f.broken == "" {
		f.broken = fmt.Sprintf("sequence of %s restarted after %d", echo.Target, f.sequence)
	}
	if echo.Target != f.target {
		f.sequence = 0
	}
	f.target = echo.Target
	f.sequence = max(f.sequence, echo.Sequence)
}

// crossed breaks the flow.
func (f *datagramFlow) crossed(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken == "" {
		f.broken = cause
	}
}

// usable reports whether the flow is intact. A flow without answers for the
// idle timeout is broken.
func (f *datagramFlow) usable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := time.Since(f.answered)
	if f.broken == "" && len(f.pending) > 0 && silent > f.caller.cfg.IdleTimeout {
		f.broken = fmt.Sprintf("no answer for %v", silent.Round(time.Millisecond))
	}
	return f.broken == ""
}

func (f *datagramFlow) unanswered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending)
}

// finish records the datagrams without an answer as lost and the flow's end.
func (f *datagramFlow) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, r := range f.pending {
		r.Done = now
		r.Outcome = workload.RequestLost
		f.caller.recorder.done(r)
	}
	f.caller.recorder.closeFlow(f.id, flowEnd{cause: f.broken}, now)
}
