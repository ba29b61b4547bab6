package obs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 1024
	// flushTimeout bounds the wait for them at the end.
	flushTimeout = 500 * time.Millisecond
)

// QueuedWriter writes lines without ever blocking the caller: lines that the
// reader does not take in time are dropped and counted.
type QueuedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueuedWriter returns a writer to w, which must be closed.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write queues a line. It never fails.
func (q *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *QueuedWriter) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			// Nobody can be told that the log itself can't be written.
			_, _ = fmt.Fprintf(w, "level=warn part=obs msg=\"Log lines were dropped.\" lines=%d\n", n)
		}
		_, _ = w.Write(line)
	}
}

// Close waits a short time until the queued lines are written. There must be no
// Write after it.
func (q *QueuedWriter) Close() error {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
	return nil
}
