package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// unusableStore is a store whose lists or polls fail with an error as long as it is set, and
// which counts them.
type unusableStore struct {
	*fakeStore
	mu                sync.Mutex
	listErr, pollErr  error
	lists, polls      int
	grantsLapsed      bool
	failsEveryCompare bool
	writes            int
}

func (s *unusableStore) fail(list, poll error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listErr, s.pollErr = list, poll
}

func (s *unusableStore) counts() (lists, polls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.polls
}

func (s *unusableStore) List(ctx context.Context, prefix string) (store.ListResult, error) {
	s.mu.Lock()
	s.lists++
	err := s.listErr
	s.mu.Unlock()
	if err != nil {
		return store.ListResult{}, err
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *unusableStore) Poll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.mu.Lock()
	s.polls++
	err := s.pollErr
	s.mu.Unlock()
	if err != nil {
		return nil, store.Revision{}, err
	}
	return s.fakeStore.Poll(ctx, prefix, after, wait)
}

func (s *unusableStore) Write(ctx context.Context, t store.Txn) (store.Revision, error) {
	s.mu.Lock()
	s.writes++
	compare, lapsed := s.failsEveryCompare, s.grantsLapsed
	s.mu.Unlock()
	switch {
	case compare:
		return store.Revision{}, store.ErrCompareFailed
	case lapsed:
		return store.Revision{}, store.ErrLeaseLapsed
	}
	return s.fakeStore.Write(ctx, t)
}

// A store that answers, but never so that it can be used, is not read without a pause; one line
// tells when that begins and why, one when it ends (review/15).
func TestUnusableStoreIsReadWithBackoff(t *testing.T) {
	malformed := fmt.Errorf("%w: as_of is -1, want a number above 0", store.ErrUnavailable)
	for name, errs := range map[string][2]error{
		"history is lost at each list": {store.ErrCompacted, nil},
		"history is lost at each poll": {nil, store.ErrCompacted},
		"each list is malformed":       {malformed, nil},
		"each poll is malformed":       {nil, malformed},
		"each poll is rejected":        {nil, store.ErrRejected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &unusableStore{fakeStore: newFakeStore()}
			s.fail(errs[0], errs[1])
			o := startWatcher(t, s, newSignal())
			time.Sleep(3 * time.Second)
			if lists, polls := s.counts(); lists > 20 || polls > 20 {
				t.Errorf("%d lists and %d polls in 3 s, want at most 20 of each", lists, polls)
			}
			want := errors.Join(errs[0], errs[1]).Error()
			failing, established := o.reports()
			if len(failing) != 1 || !strings.HasSuffix(failing[0], want) {
				t.Errorf("the failures are reported as %q, want one report of %q", failing, want)
			}
			if len(established) > 1 {
				t.Errorf("the watch was reported as established %d times while the store was unusable", len(established))
			}
			s.fail(nil, nil)
			eventually(t, "watch is established", func() bool { _, now := o.reports(); return len(now) > len(established) })
			_, established = o.reports()
			end := established[len(established)-1]
			if end.attempts < 2 || end.err == nil || end.err.Error() != want || time.Since(end.since) < 3*time.Second {
				t.Errorf("the end of the failures is reported with %+v", end)
			}
		})
	}
}

func (o *observedStore) reports() (failing []string, established []watchFailures) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failing, o.established
}

// forgetfulStore is a store that drops its history after each poll that has succeeded.
type forgetfulStore struct {
	*fakeStore
	mu     sync.Mutex
	polled bool
	losses int
}

func (s *forgetfulStore) Poll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.mu.Lock()
	lost := s.polled
	s.polled = !s.polled
	if lost {
		s.losses++
	}
	s.mu.Unlock()
	if lost {
		return nil, store.Revision{}, store.ErrCompacted
	}
	return s.fakeStore.Poll(ctx, prefix, after, wait)
}

// A store may drop its history at any time. A watch that has followed it until then reads the
// pairs again at once: 100 pauses would take about 10 s.
func TestHistoryLostWhileWatchingIsReadAgainAtOnce(t *testing.T) {
	s := &forgetfulStore{fakeStore: newFakeStore()}
	startWatcher(t, s, newSignal())
	eventually(t, "100 losses of the history", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.losses >= 100
	})
}

// A store that serves each write and refuses it is called ever more rarely: at the planned size
// 550 agents would otherwise call it more than a thousand times a second.
func TestRefusedRegistrationsAreRepeatedWithBackoff(t *testing.T) {
	for name, prepare := range map[string]func(*unusableStore){
		"each condition fails":    func(s *unusableStore) { s.failsEveryCompare = true },
		"each lease is not known": func(s *unusableStore) { s.grantsLapsed = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &unusableStore{fakeStore: newFakeStore()}
			prepare(s)
			var mu sync.Mutex
			r := newRegistrar(s, new([]steering.Event), &mu)
			var lines []string
			r.warn = func(text string, err error) { lines = append(lines, text+" "+err.Error()) }
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r.readPrevious(ctx)
			record := exampleRecord
			r.record = &record
			r.storeDesired(ctx)
			if s.writes < 3 || s.writes > 24 {
				t.Errorf("%d writes in 5 s, want 3 to 24", s.writes)
			}
			if len(lines) != 1 {
				t.Errorf("the log says %q, want one line", lines)
			}
			if got := r.failed.Load(); got < 3 {
				t.Errorf("%d failures are counted", got)
			}
		})
	}
}

// Refused calls are repeated after up to maxRefusedInterval, others after maxRetryInterval.
func TestRetryIntervals(t *testing.T) {
	for _, test := range []struct {
		err    error
		atMost time.Duration
	}{
		{store.ErrUnavailable, maxRetryInterval}, {store.ErrOutcomeUnknown, maxRetryInterval}, {store.ErrCompacted, maxRetryInterval},
		{store.ErrCompareFailed, maxRefusedInterval}, {store.ErrRejected, maxRefusedInterval}, {store.ErrLeaseLapsed, maxRefusedInterval},
	} {
		retry := newStoreRetry()
		if first := retry.next(test.err); first > 2*minRetryInterval {
			t.Errorf("%v: the first retry is after %v", test.err, first)
		}
		longest := time.Duration(0)
		for range 100 {
			longest = max(longest, retry.next(test.err))
		}
		if longest < test.atMost/2 || longest > 2*test.atMost {
			t.Errorf("%v: retries are up to %v apart, want about %v", test.err, longest, test.atMost)
		}
	}
}

// Routers and operators are told why a balancer is not ready.
func TestReadinessAnswerHasTheReason(t *testing.T) {
	s := &unusableStore{fakeStore: newFakeStore()}
	s.fail(errors.New("the list is malformed"), nil)
	b := startBalancer(t, s, decodeTestState)
	ask := func() (int, string) {
		w := httptest.NewRecorder()
		readyHandler("/ready", b.unreadyReason).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	const want = `{"reason":"no configuration is in force; the list is malformed"}`
	eventually(t, "reason", func() bool { _, body := ask(); return body == want })
	if status, _ := ask(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if b.watcher.failed.Load() == 0 {
		t.Error("no failure is counted")
	}
	s.fakeStore.set("op/config", "1", 0)
	s.fail(nil, nil)
	eventually(t, "readiness", func() bool { status, _ := ask(); return status == http.StatusOK })
	if _, body := ask(); body != "" {
		t.Errorf("a ready balancer answers %q", body)
	}
}
