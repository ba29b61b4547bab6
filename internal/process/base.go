package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Part is the value of the log field "part" for this package.
const Part = "process"

const (
	// socketBufferSize is the size of each of the data socket's kernel buffers, in
	// bytes.
	socketBufferSize = 4 << 20
	// adminHeaderTimeout bounds the reading of an admin request's header.
	adminHeaderTimeout = 5 * time.Second
)

// Base contains the common parts of balancers and agents: the node's loop, its
// control sessions, the data socket and the admin server.
type Base struct {
	Settings settings.Common
	Logs     *obs.LoggerFactory
	Metrics  tally.Scope
	Keys     wire.Keys
	Data     *net.UDPConn
	Loop     *Loop
	Hub      *control.Hub

	logger log.Logger
	member atomic.Pointer[model.Member]
	// subscription is the service to whose objects and members the node subscribes.
	subscription atomic.Pointer[model.ServiceName]
	stopped      chan struct{} // closed by StopFinished
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	adminServer  *http.Server
}

// NewBase returns a base with an open data socket. The caller must call Start
// next.
func NewBase(s settings.Common, logs *obs.LoggerFactory, metrics tally.Scope) (*Base, error) {
	data, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Data))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w", s.Data, err)
	}
	if err := errors.Join(data.SetReadBuffer(socketBufferSize), data.SetWriteBuffer(socketBufferSize)); err != nil {
		_ = data.Close()
		return nil, fmt.Errorf("set the buffer sizes of %s: %w", s.Data, err)
	}
	return &Base{
		Settings: s, Logs: logs, Metrics: metrics, Keys: wire.NewKeys(s.Secrets), Data: data,
		logger: logs.ForPart(Part), stopped: make(chan struct{}),
	}, nil
}

// Member returns the node's own record at the start of the process.
func (b *Base) Member(role model.Role) model.Member {
	s := &b.Settings
	return model.Member{
		Node: s.Node, Role: role, Domain: s.Domain,
		Incarnation: uint64(time.Now().UnixNano()), State: model.StateAlive,
		DataAddr: s.Data, ControlAddr: s.Control, AdminAddr: s.Admin,
	}
}

// Start runs the node. Effects that Base does not perform itself are passed to
// performEffect. The admin handler may call Inspect.
func (b *Base) Start(node *core.Node, performEffect func(*core.Board, core.Effect), adminHandler http.Handler) error {
	b.publishMember(node.Board())
	b.Loop = NewLoop(node, func(board *core.Board, e core.Effect) {
		if !b.performEffect(e) {
			performEffect(board, e)
		}
	}, b.publishMember)
	b.Hub = control.NewHub(control.Options{
		Self:    func() model.Member { return *b.member.Load() },
		Service: func() model.ServiceName { return *b.subscription.Load() },
		Cluster: b.Settings.Cluster,
		Secrets: b.Settings.Secrets,
		Logger:  b.Logs.ForPart("control"),
		Emit:    b.Loop.Post,
	})
	if err := b.startServers(adminHandler); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.wg.Go(func() { b.Loop.Run(ctx) })
	b.wg.Go(func() { b.reportMetrics(ctx) })
	_ = level.Info(b.logger).Log("msg", "Node started.", "node", b.Settings.Node, "domain", b.Settings.Domain)
	return nil
}

// Inspect calls a function with the node's board; see Loop.Inspect.
func (b *Base) Inspect(inspect func(*core.Board)) bool {
	return b.Loop.Inspect(inspect)
}

// publishMember publishes the node's own record and subscription for handshakes.
func (b *Base) publishMember(board *core.Board) {
	member := board.Self.Member
	if previous := b.member.Load(); previous == nil || *previous != member {
		b.member.Store(&member)
	}
	subscription := board.Self.Subscription
	if previous := b.subscription.Load(); previous == nil || *previous != subscription {
		b.subscription.Store(&subscription)
	}
}

// LeaveCluster asks the node to stop and waits until it has left the cluster or
// the context is done.
func (b *Base) LeaveCluster(ctx context.Context) {
	b.Loop.Post(core.StopRequested{})
	select {
	case <-b.stopped:
	case <-ctx.Done():
	}
}

// startServers listens on the control and admin addresses and serves them.
func (b *Base) startServers(adminHandler http.Handler) error {
	controlListener, err := net.Listen("tcp", b.Settings.Control.String())
	if err != nil {
		return fmt.Errorf("listen for control sessions: %w", err)
	}
	adminListener, err := net.Listen("tcp", b.Settings.Admin.String())
	if err != nil {
		_ = controlListener.Close()
		return fmt.Errorf("listen for the admin API: %w", err)
	}
	b.adminServer = &http.Server{Handler: adminHandler, ReadHeaderTimeout: adminHeaderTimeout}
	b.wg.Go(func() { _ = b.Hub.Serve(controlListener) })
	b.wg.Go(func() { _ = b.adminServer.Serve(adminListener) })
	return nil
}

// performEffect performs the effects that both roles share. It reports whether
// the effect was one of them.
func (b *Base) performEffect(e core.Effect) bool {
	switch e := e.(type) {
	case core.Dial:
		b.Hub.Dial(e.Addr)
	case core.CloseSession:
		b.Hub.CloseSession(e.Peer, e.Reason)
	case core.SendMessage:
		b.Hub.Send(e.To, e.Message)
	case core.Count:
		b.Metrics.Counter(e.Name).Inc(e.Delta)
	case core.Log:
		b.logEffect(e)
	case core.StopFinished:
		close(b.stopped)
	default:
		return false
	}
	return true
}

func (b *Base) logEffect(e core.Log) {
	fields := append([]any{"msg", e.Text}, e.Fields...)
	_ = level.Info(b.Logs.ForPart(e.Part)).Log(fields...)
}

// Close stops the loop and the servers and closes the control sessions.
func (b *Base) Close() {
	if b.cancel != nil {
		b.cancel()
		_ = b.Hub.Close()
		_ = b.adminServer.Close()
	}
	_ = b.Data.Close()
	b.wg.Wait()
	_ = level.Info(b.logger).Log("msg", "Node stopped.", "node", b.Settings.Node)
}
