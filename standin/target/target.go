package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// idlePoll is how often a stopping target looks whether its work is done.
const idlePoll = 20 * time.Millisecond

// handlerTimeout bounds the wait for handlers that were cut.
const handlerTimeout = time.Second

// Target is a running target.
type Target struct {
	cfg       Config
	log       log.Logger
	capacity  *capacity
	ledger    *ledger
	reporter  *reporter
	announcer *announcer

	// address and admin are the bound addresses.
	address string
	admin   string
	flows   *net.UDPConn // nil in request mode
	servers []*http.Server
	cancel  context.CancelFunc
	workers sync.WaitGroup

	draining atomic.Bool
	left     atomic.Bool
	cut      atomic.Bool
	// slow is the time added to each request's work, in nanoseconds.
	slow atomic.Int64
	// handlers is the number of requests whose handlers have not returned.
	handlers atomic.Int64
}

// Start checks the settings, binds the addresses and starts to serve and to
// announce. The caller must Stop the target.
func Start(cfg Config, logger log.Logger) (*Target, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	now := time.Now()
	if cfg.Instance == "" {
		cfg.Instance = strconv.FormatInt(now.UnixNano(), 36)
	}
	records, err := openLedger(cfg.LedgerFile, workload.TargetStart{
		Target: cfg.Name, Instance: cfg.Instance, Service: cfg.Service, Started: now,
	})
	if err != nil {
		return nil, err
	}
	t := &Target{cfg: cfg, log: log.With(logger, "part", "target", "target", cfg.Name), ledger: records}
	t.capacity = newCapacity(&t.cfg, now)
	t.reporter = &reporter{lag: cfg.HealthLag}
	t.announcer = newAnnouncer(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	if err := t.listen(); err != nil {
		t.close()
		return nil, err
	}
	t.workers.Go(func() { t.sampleReports(ctx) })
	if cfg.Announce != "" {
		t.workers.Go(func() { t.announcer.loop(ctx) })
	}
	t.log.Log("msg", "serving", "service", cfg.Service, "address", t.address, "admin", t.admin)
	return t, nil
}

// Address returns the bound address of the service.
func (t *Target) Address() string { return t.address }

// Admin returns the bound address of the control endpoints.
func (t *Target) Admin() string { return t.admin }

// Stop leaves in a planned way: it announces draining, waits until the work
// has stopped coming and is done, withdraws the announcement and closes.
func (t *Target) Stop() {
	started := time.Now()
	t.draining.Store(true)
	if t.cfg.Announce != "" {
		t.announcer.announce(context.Background())
	}
	for t.busy(started) && time.Since(started) < t.cfg.StopLimit {
		time.Sleep(idlePoll)
	}
	t.leave(context.Background())
	running := t.capacity.state(time.Now()).running
	t.close()
	t.log.Log("msg", "stopped", "cut_requests", running)
}

// leave withdraws the announcement, if there is an agent.
func (t *Target) leave(ctx context.Context) {
	if t.cfg.Announce == "" {
		t.left.Store(true)
		return
	}
	t.announcer.leave(ctx)
}

// busy reports whether a stopping target has to wait.
func (t *Target) busy(started time.Time) bool {
	if t.capacity.state(time.Now()).running > 0 {
		return true
	}
	return t.cfg.Announce != "" && time.Since(started) < t.cfg.StopWait
}

func (t *Target) close() {
	t.cancel()
	for _, s := range t.servers {
		s.Close()
	}
	if t.flows != nil {
		t.flows.Close()
	}
	t.waitForHandlers()
	t.workers.Wait()
	t.check(t.ledger.close())
}

// waitForHandlers waits until the handlers of requests have returned, which may be
// after their responses were sent, so that their spans are complete.
func (t *Target) waitForHandlers() {
	for end := time.Now().Add(handlerTimeout); t.handlers.Load() > 0 && time.Now().Before(end); {
		time.Sleep(idlePoll)
	}
}

// listen binds the service's and the admin address and serves both.
func (t *Target) listen() error {
	admin, err := net.Listen("tcp", t.cfg.Admin)
	if err != nil {
		return fmt.Errorf("listen on the admin address: %w", err)
	}
	t.admin = admin.Addr().String()
	t.serve(admin, t.adminHandler())
	if t.cfg.Mode == model.ModeFlow {
		return t.listenFlows()
	}
	service, err := net.Listen("tcp", t.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen on the service's address: %w", err)
	}
	t.address = service.Addr().String()
	t.serve(&cappedListener{Listener: service, t: t}, t.serviceHandler())
	return nil
}

func (t *Target) listenFlows() error {
	addr, err := net.ResolveUDPAddr("udp", t.cfg.Listen)
	if err != nil {
		return fmt.Errorf("resolve the service's address: %w", err)
	}
	t.flows, err = net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("listen on the service's address: %w", err)
	}
	t.address = t.flows.LocalAddr().String()
	t.workers.Go(func() { t.check(t.echo(t.flows)) })
	return nil
}

func (t *Target) serviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, t.serveHealth)
	mux.HandleFunc("GET "+loadPath, t.serveLoad)
	mux.Handle("/", t.traced(t.serveWork))
	return mux
}

func (t *Target) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	t.servers = append(t.servers, server)
	t.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.check(err)
		}
	})
}

// check logs an error of the stand-in itself.
func (t *Target) check(err error) {
	if err != nil {
		t.log.Log("msg", "stand-in failed", "err", err)
	}
}
