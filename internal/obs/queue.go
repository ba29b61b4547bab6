package obs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the maximum number of queued lines.
	queueLength = 1024
	// flushTimeout limits how long Close waits for queued lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// QueuedWriter writes lines in the background, so that a slow destination never
// blocks the caller. It drops and counts lines while its queue is full.
type QueuedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueuedWriter returns a QueuedWriter that writes to w. The caller must close
// it.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{lines: make(chan []byte, queueLength), done: make(chan struct{})}
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
			// A failure to write the log cannot itself be logged.
			_, _ = fmt.Fprintf(w, "level=warn part=obs msg=\"Log lines were dropped.\" lines=%d\n", n)
		}
		_, _ = w.Write(line)
	}
}

// Close waits until the queued lines are written, but at most flushTimeout. Write
// must not be called after Close.
func (q *QueuedWriter) Close() error {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
	return nil
}
