package obs_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/obs"
)

func TestQueuedWriterWritesInOrder(t *testing.T) {
	var out bytes.Buffer
	q := obs.NewQueuedWriter(&out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		if _, err := io.WriteString(q, line); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "one\ntwo\nthree\n" {
		t.Errorf("wrote %q", got)
	}
}

func TestQueuedWriterDoesNotBlockOnSlowReader(t *testing.T) {
	reader, writer := io.Pipe()
	q := obs.NewQueuedWriter(writer)
	start := time.Now()
	for range 5000 {
		_, _ = io.WriteString(q, "line\n")
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writing took %v", elapsed)
	}
	var out bytes.Buffer
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&out, reader)
	}()
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	<-done
	if !strings.Contains(out.String(), "Log lines were dropped.") {
		t.Error("dropped lines are not reported")
	}
}
