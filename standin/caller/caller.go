package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// balancersFileInterval is how often the file of balancers is read.
const balancersFileInterval = 200 * time.Millisecond

// ErrNoCertificate reports a CA file without a usable certificate.
var ErrNoCertificate = errors.New("CA file holds no certificate")

// adminShutdown bounds the wait for answers of the control endpoints at the end.
const adminShutdown = time.Second

// Caller puts load on one service.
type Caller struct {
	cfg       Config
	log       log.Logger
	fabric    *fabric
	recorder  *recorder
	tls       *tls.Config
	http      *http3.Transport
	authority string
	admin     *http.Server // nil without an admin address
	// stop ends the load early; stopped is closed by it.
	stop    func()
	stopped chan struct{}

	requestNumber atomic.Uint64
	flowNumber    atomic.Uint64
	planNumber    atomic.Uint64
	// taken counts requests against the bound on them.
	taken atomic.Int64
	// skipped counts short sessions that found no place, failedOpens flows
	// that could not be opened.
	skipped     atomic.Int64
	failedOpens atomic.Int64
}

// New checks the settings and prepares a caller.
func New(cfg Config, logger log.Logger) (*Caller, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Caller{
		cfg: cfg, log: log.With(logger, "part", "caller", "caller", cfg.Name),
		http: &http3.Transport{DisableCompression: true}, fabric: newFabric(&cfg),
		recorder: newRecorder(cfg.LateAfter, flowRules{cfg.StrictMoves, cfg.AllowGoAway}, time.Now()), stopped: make(chan struct{}),
		authority: net.JoinHostPort(cfg.ServerName, strconv.Itoa(int(cfg.Address.Port()))),
	}
	c.stop = sync.OnceFunc(func() { close(c.stopped) })
	if cfg.CAFile != "" {
		roots, err := readRoots(cfg.CAFile)
		if err != nil {
			return nil, err
		}
		c.tls = &tls.Config{
			RootCAs: roots, ServerName: cfg.ServerName,
			NextProtos: []string{http3.NextProtoH3}, MinVersion: tls.VersionTLS13,
		}
	}
	return c, nil
}

func readRoots(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s", ErrNoCertificate, path)
	}
	return roots, nil
}

// Run puts the load on the service until it is bounded or the context ends,
// waits for the requests under way and returns the ledger, which it also
// writes to the ledger file.
func (c *Caller) Run(ctx context.Context) (workload.CallerLedger, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Duration)
	defer cancel()
	go func() {
		select {
		case <-c.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.recorder.start(time.Now())
	if err := c.startAdmin(); err != nil {
		return workload.CallerLedger{}, err
	}
	c.log.Log("msg", "load started", "service", c.cfg.Service, "sessions", c.cfg.Sessions)
	c.load(ctx)
	ledger := c.Ledger()
	c.log.Log("msg", "load ended", "sent", ledger.Counts.Sent, "answered", ledger.Counts.Answered,
		"refused", ledger.Counts.Refused, "unknown", ledger.Counts.Unknown, "lost", ledger.Counts.Lost,
		"broken_flows", ledger.Counts.BrokenFlows, "skipped", c.skipped.Load(), "failed_opens", c.failedOpens.Load())
	if c.admin != nil {
		// An answer that is on its way, such as that to the stop of the load, has to
		// arrive.
		ctx, cancel := context.WithTimeout(context.Background(), adminShutdown)
		defer cancel()
		if err := c.admin.Shutdown(ctx); err != nil {
			c.log.Log("msg", "control endpoints were cut off", "err", err)
		}
	}
	return ledger, c.writeLedger(ledger)
}

// load runs all parts of the load to their end.
func (c *Caller) load(ctx context.Context) {
	var parts sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	if c.cfg.BalancersFile != "" {
		parts.Go(func() { c.followBalancers(ctx) })
	}
	var load sync.WaitGroup
	if c.cfg.Mode == model.ModeFlow {
		load.Go(func() { c.runSessions(ctx, c.longDatagramFlow) })
	} else {
		load.Go(func() { c.runSessions(ctx, c.longSession) })
		load.Go(func() { c.runShort(ctx) })
	}
	load.Wait()
	cancel()
	parts.Wait()
}

// followBalancers reads the file of balancers until the context ends.
func (c *Caller) followBalancers(ctx context.Context) {
	for {
		if err := c.fabric.readBalancers(c.cfg.BalancersFile); err != nil {
			c.log.Log("msg", "balancers not read", "err", err)
		}
		if !sleep(ctx, balancersFileInterval) {
			return
		}
	}
}

// Ledger returns a copy of the caller's ledger.
func (c *Caller) Ledger() workload.CallerLedger {
	out := c.recorder.ledger(time.Now())
	out.Caller = c.cfg.Name
	out.Service = c.cfg.Service
	out.Seed = c.cfg.Seed
	return out
}

func (c *Caller) writeLedger(ledger workload.CallerLedger) error {
	if c.cfg.LedgerFile == "" {
		return nil
	}
	text, err := json.Marshal(ledger)
	if err != nil {
		return fmt.Errorf("encode ledger: %w", err)
	}
	if err := os.WriteFile(c.cfg.LedgerFile, text, 0o644); err != nil {
		return fmt.Errorf("write ledger: %w", err)
	}
	return nil
}

func (c *Caller) requestID() string {
	return fmt.Sprintf("%s-%d", c.cfg.Name, c.requestNumber.Add(1))
}

func (c *Caller) flowID(number uint64) string {
	return fmt.Sprintf("%s-flow-%d", c.cfg.Name, number)
}
