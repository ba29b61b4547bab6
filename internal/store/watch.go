package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// errStartTimeout reports a watch that the endpoint did not confirm within
// Options.Timeout.
var errStartTimeout = errors.New("watch was not confirmed before the timeout")

// Watch implements Store. It tries the endpoints in turn like a read, but does
// not fail over once the watch has started.
func (e *Etcd) Watch(ctx context.Context, key string, after Revision, notify func(Event)) error {
	create := &etcdjson.WatchCreateRequest{Key: []byte(key), StartRevision: after.Number() + 1}
	body, err := json.Marshal(etcdjson.WatchRequest{Create: create})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	r := request{kind: CallWatch, path: etcdjson.PathWatch}
	first := int(e.preferred.Load())
	for i := range e.options.Endpoints {
		index := (first + i) % len(e.options.Endpoints)
		err = e.watchEndpoint(ctx, r, e.options.Endpoints[index], body, notify)
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// watchEndpoint runs a watch at one endpoint. It fails with ErrUnavailable if
// the watch did not start, and with ErrWatchEnded afterwards.
func (e *Etcd) watchEndpoint(ctx context.Context, r request, endpoint string, body []byte, notify func(Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	startTimer := time.AfterFunc(e.options.Timeout, func() { cancel(errStartTimeout) })
	defer startTimer.Stop()

	response, err := e.send(ctx, r, endpoint, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	stream := newWatchStream(response.Body, e.options.MaxResponse)
	if _, err := stream.next(); err != nil || !startTimer.Stop() {
		return callError(r, endpoint, ErrUnavailable, errors.Join(err, context.Cause(ctx)))
	}
	for {
		events, err := stream.next()
		if err != nil {
			return callError(r, endpoint, ErrWatchEnded, err)
		}
		for _, event := range events {
			notify(decodeEvent(event))
		}
	}
}

func decodeEvent(event etcdjson.Event) Event {
	return Event{KV: decodeKeyValue(event.Kv), Deleted: event.Type == etcdjson.EventDelete}
}

// watchStream decodes the messages of a watch, each of at most limit bytes.
type watchStream struct {
	decoder *json.Decoder
	limited *io.LimitedReader
	limit   int64
}

func newWatchStream(r io.Reader, limit int64) *watchStream {
	limited := &io.LimitedReader{R: r, N: limit}
	return &watchStream{decoder: json.NewDecoder(limited), limited: limited, limit: limit}
}

// next returns the events of the next message, if any.
func (s *watchStream) next() ([]etcdjson.Event, error) {
	s.limited.N = s.limit
	var message etcdjson.Stream[etcdjson.WatchResponse]
	if err := s.decoder.Decode(&message); err != nil {
		return nil, err
	}
	switch {
	case message.Error != nil:
		return nil, fmt.Errorf("watch failed: %s", message.Error.Message)
	case message.Result == nil:
		return nil, errors.New("watch message has no result")
	case message.Result.CompactRevision > 0:
		return nil, fmt.Errorf("start revision has been compacted (compact revision %d)", message.Result.CompactRevision)
	case message.Result.Canceled:
		return nil, fmt.Errorf("watch was canceled: %s", message.Result.CancelReason)
	}
	return message.Result.Events, nil
}
