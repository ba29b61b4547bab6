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

// Part is the log prefix of this package.
const Part = "process"

const (
	// socketBuffer is the size of the data socket's kernel buffers, in bytes.
	socketBuffer = 4 << 20
	// adminHeaderTimeout bounds the reading of an admin request's header.
	adminHeaderTimeout = 5 * time.Second
)

// Base is what balancers and agents have in common: the node's loop, its
// control sessions, the data socket and the admin server.
type Base struct {
	Settings settings.Common
	Logs     *obs.Logs
	Metrics  tally.Scope
	Keys     wire.Keys
	Data     *net.UDPConn
	Loop     *Loop
	Hub      *control.Hub

	logger log.Logger
	self   atomic.Pointer[model.Member]
	// subscription is the service whose objects and members the node follows.
	subscription atomic.Pointer[model.ServiceName]
	stopped      chan struct{} // closed by StopFinished
	cancel       context.CancelFunc
	group        sync.WaitGroup
	admin        *http.Server
}

// NewBase opens the data socket. Start must follow.
func NewBase(s settings.Common, logs *obs.Logs, metrics tally.Scope) (*Base, error) {
	data, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Data))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w", s.Data, err)
	}
	if err := errors.Join(data.SetReadBuffer(socketBuffer), data.SetWriteBuffer(socketBuffer)); err != nil {
		_ = data.Close()
		return nil, fmt.Errorf("size the buffers of %s: %w", s.Data, err)
	}
	return &Base{
		Settings: s, Logs: logs, Metrics: metrics, Keys: wire.NewKeys(s.Secrets), Data: data,
		logger: logs.Part(Part), stopped: make(chan struct{}),
	}, nil
}

// Member returns the node's own record at its start.
func (b *Base) Member(role model.Role) model.Member {
	s := &b.Settings
	return model.Member{
		Node: s.Node, Role: role, Domain: s.Domain,
		Incarnation: uint64(time.Now().UnixNano()), State: model.StateAlive,
		DataAddr: s.Data, ControlAddr: s.Control, AdminAddr: s.Admin,
	}
}

// Start runs the node. Effects that Base does not carry out itself go to
// carryOut. The admin handler may inspect the loop.
func (b *Base) Start(node *core.Node, carryOut func(*core.Board, core.Effect), admin http.Handler) error {
	b.noteSelf(node.Board())
	b.Loop = NewLoop(node, func(board *core.Board, e core.Effect) {
		if !b.carryOut(e) {
			carryOut(board, e)
		}
	}, b.noteSelf)
	b.Hub = control.NewHub(control.Options{
		Self:    func() model.Member { return *b.self.Load() },
		Service: func() model.ServiceName { return *b.subscription.Load() },
		Cluster: b.Settings.Cluster,
		Secrets: b.Settings.Secrets,
		Logger:  b.Logs.Part("control"),
		Emit:    b.Loop.Post,
	})
	if err := b.listen(admin); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.group.Go(func() { b.Loop.Run(ctx) })
	b.group.Go(func() { b.reportBoard(ctx) })
	_ = level.Info(b.logger).Log("msg", "Node started.", "node", b.Settings.Node, "domain", b.Settings.Domain)
	return nil
}

// Inspect runs a function with the node's board; see Loop.Inspect.
func (b *Base) Inspect(f func(*core.Board)) bool {
	return b.Loop.Inspect(f)
}

// noteSelf publishes the node's record for handshakes.
func (b *Base) noteSelf(board *core.Board) {
	self := board.Self.Member
	if held := b.self.Load(); held == nil || *held != self {
		b.self.Store(&self)
	}
	subscription := board.Self.Subscription
	if held := b.subscription.Load(); held == nil || *held != subscription {
		b.subscription.Store(&subscription)
	}
}

// LeaveCluster asks the node to stop and waits until it has left the cluster or the
// context ends.
func (b *Base) LeaveCluster(ctx context.Context) {
	b.Loop.Post(core.StopRequested{})
	select {
	case <-b.stopped:
	case <-ctx.Done():
	}
}

// listen opens the control and admin addresses.
func (b *Base) listen(admin http.Handler) error {
	controlListener, err := net.Listen("tcp", b.Settings.Control.String())
	if err != nil {
		return fmt.Errorf("listen for control sessions: %w", err)
	}
	adminListener, err := net.Listen("tcp", b.Settings.Admin.String())
	if err != nil {
		_ = controlListener.Close()
		return fmt.Errorf("listen for the admin API: %w", err)
	}
	b.admin = &http.Server{Handler: admin, ReadHeaderTimeout: adminHeaderTimeout}
	b.group.Go(func() { _ = b.Hub.Serve(controlListener) })
	b.group.Go(func() { _ = b.admin.Serve(adminListener) })
	return nil
}

// carryOut carries out the effects that both roles share. It reports whether
// the effect was one of them.
func (b *Base) carryOut(e core.Effect) bool {
	switch e := e.(type) {
	case core.Dial:
		b.Hub.Dial(e.Addr)
	case core.CloseSession:
		b.Hub.Hangup(e.Peer, e.Reason)
	case core.SendMessage:
		b.Hub.Send(e.To, e.Message)
	case core.Count:
		b.Metrics.Counter(e.Name).Inc(e.Delta)
	case core.Log:
		b.log(e)
	case core.StopFinished:
		close(b.stopped)
	default:
		return false
	}
	return true
}

func (b *Base) log(e core.Log) {
	fields := append([]any{"msg", e.Text}, e.Fields...)
	_ = level.Info(b.Logs.Part(e.Part)).Log(fields...)
}

// Close ends the loop, the control sessions and the servers.
func (b *Base) Close() {
	if b.cancel != nil {
		b.cancel()
		_ = b.Hub.Close()
		_ = b.admin.Close()
	}
	_ = b.Data.Close()
	b.group.Wait()
	_ = level.Info(b.logger).Log("msg", "Node stopped.", "node", b.Settings.Node)
}
