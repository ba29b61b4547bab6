package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

const (
	// retryAfterSeconds is what a shedding target puts into Retry-After.
	retryAfterSeconds = "1"
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
	// maxWork bounds the work of one request.
	maxWork = 10 * time.Minute
)

// errFellOver ends the runs of a target that falls over.
var errFellOver = errors.New("target fell over")

// order is a parsed request.
type order struct {
	size int64
	work time.Duration
	// timeout is the time left for the request; zero is no limit.
	timeout time.Duration
	expired bool
	body    workload.Digest
}

// serveWork answers the paths of the service.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(workload.HeaderTarget, t.cfg.Name)
	w.Header().Set(workload.HeaderRequestID, r.Header.Get(workload.HeaderRequestID))
	if t.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	o, err := t.parse(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.expired {
		refuse(w, http.StatusGatewayTimeout, "deadline passed before the run")
		return
	}
	switch t.capacity.arrive(time.Now()) {
	case verdictRun:
		t.run(w, r, o)
	case verdictShed:
		t.shed(w)
	case verdictFallOver:
		t.fallOver(w)
	case verdictFail:
		t.fail(w)
	}
}

// parse reads the whole request. The body is read to its end so that the
// server notices when the connection closes during the work.
func (t *Target) parse(r *http.Request) (order, error) {
	o := order{work: t.cfg.Work}
	query := r.URL.Query()
	if text := query.Get(workload.QuerySize); text != "" {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 || size > maxAnswerBytes {
			return o, errors.New("size is not a number of bytes within the limit")
		}
		o.size = size
	}
	if text := query.Get(workload.QueryWork); text != "" {
		work, err := milliseconds(text)
		if err != nil || work > maxWork {
			return o, errors.New("work_ms is not a number of milliseconds within the limit")
		}
		o.work = work
	}
	if text := r.Header.Get(workload.HeaderTimeout); text != "" {
		timeout, err := milliseconds(text)
		if err != nil {
			return o, errors.New("the timeout is not a number of milliseconds")
		}
		o.timeout = timeout
		o.expired = timeout == 0
	}
	body, err := workload.ComputeDigest(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return o, errors.New("the body is incomplete")
	}
	o.body = body
	return o, nil
}

func milliseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	return time.Duration(n) * time.Millisecond, err
}

// run does the work in a slot and answers.
func (t *Target) run(w http.ResponseWriter, r *http.Request, o order) {
	completed := false
	defer func() { t.capacity.finish(completed) }()
	number, err := t.ledger.start(workload.Run{
		Target: t.cfg.Name, Instance: t.cfg.Instance, Service: t.cfg.Service,
		RequestID:      r.Header.Get(workload.HeaderRequestID),
		IdempotencyKey: r.Header.Get(workload.HeaderIdempotencyKey),
		Method:         r.Method, Path: r.URL.Path, Body: o.body, Started: time.Now(),
	})
	t.check(err)
	outcome := t.work(r.Context(), o)
	t.check(t.ledger.finish(number, outcome, time.Now()))
	switch outcome {
	case workload.RunCompleted:
		completed = true
		t.answer(w, r, o)
	case workload.RunTimedOut:
		http.Error(w, "deadline passed during the run", http.StatusGatewayTimeout)
	case workload.RunCancelled:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, errFellOver.Error(), http.StatusInternalServerError)
	}
}

// work takes the time of the request's work and reports how it ended.
func (t *Target) work(ctx context.Context, o order) workload.RunOutcome {
	if o.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.timeout)
		defer cancel()
	}
	timer := time.NewTimer(t.workTime(o.work))
	defer timer.Stop()
	select {
	case <-timer.C:
		return workload.RunCompleted
	case <-t.capacity.failed():
		return workload.RunFailed
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return workload.RunTimedOut
		}
		return workload.RunCancelled
	}
}

// workTime returns how long work takes at the target's present warmth.
func (t *Target) workTime(work time.Duration) time.Duration {
	coldness := 1 - t.capacity.state(time.Now()).warmth
	factor := 1 + (t.cfg.ColdSlowdown-1)*coldness
	return time.Duration(float64(work)*factor) + time.Duration(t.slow.Load())
}

// answer sends the whole answer with its length.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, o order) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(o.size, 10))
	body := workload.NewResponseBody(r.Header.Get(workload.HeaderRequestID), t.cfg.Service, o.size)
	if _, err := io.Copy(w, body); err != nil {
		t.log.Log("msg", "answer not delivered", "err", err)
	}
}

func (t *Target) shed(w http.ResponseWriter) {
	t.ledger.count(func(s *workload.TargetStats) { s.Shed++ })
	time.Sleep(shedCost)
	t.capacity.shedDone()
	w.Header().Set("Retry-After", retryAfterSeconds)
	refuse(w, http.StatusServiceUnavailable, "no free slot")
}

func (t *Target) fallOver(w http.ResponseWriter) {
	t.log.Log("msg", "fell over", "for", t.cfg.FallOver)
	t.check(t.ledger.violation(workload.Violation{
		Kind: workload.ViolationOverloaded, Target: t.cfg.Name, At: time.Now(),
		Detail: "more requests came at once than the target bears",
	}))
	t.fail(w)
}

// fail answers for a target that is down; it makes no promise about the run.
func (t *Target) fail(w http.ResponseWriter) {
	t.ledger.count(func(s *workload.TargetStats) { s.Failed++ })
	http.Error(w, errFellOver.Error(), http.StatusInternalServerError)
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(workload.HeaderOutcome, workload.OutcomeNotRun)
	http.Error(w, reason, status)
}
