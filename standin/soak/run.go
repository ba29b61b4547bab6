package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
	"amaranthwheel.example/amaranthwheel/standin/relay"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Binary is the daemon's program, Dir receives settings and logs.
	Binary, Dir string
	// Balancers, Agents and Callers size the deployment. 2, 4 and 20 if zero.
	Balancers, Agents, Callers int
	// Breadth leaves out faults that were not there when a seed failed.
	Breadth Breadth
	// Sabotage breaks a promise in place of faults.
	Sabotage Sabotage
	// Timeline receives a line a fault.
	Timeline io.Writer
}

// Breadth is the kinds of faults of a run.
type Breadth int

const (
	// All is all faults.
	All Breadth = iota
	// Undeclared leaves out overload, targets' health and declared demand.
	Undeclared
	// Linked also leaves out drills and outages of the store.
	Linked
	// Wide also leaves out faults of datagrams and clocks.
	Wide
	// Narrow also leaves out those of the network, leases, operators and power.
	Narrow
)

const (
	// stopPatience is how long a process may take to stop.
	stopPatience = 6 * time.Second
	// settle is how long a deployment may take to start, and to recover after
	// the last fault.
	settle = 5 * time.Second
	// openable is the share of flows that must open in the time after that.
	openable = 0.95
	// wideEvery is how many faults there are for one of the network, leases,
	// operators or power.
	wideEvery = 3
	// maxPause bounds the pause between two faults, in milliseconds.
	maxPause = 900
)

// run is a running soak.
type run struct {
	ctx       context.Context
	options   Options
	rand      *rand.Rand
	wide      *rand.Rand // for wide faults, so that a seed gives the others as before
	links     *rand.Rand // the same for those of datagrams and clocks
	drills    *rand.Rand // the same for drills of the store
	outages   *rand.Rand // the same for outages of the store around restarts
	overloads *rand.Rand // the same for overload and targets' health
	beats     *rand.Rand // the same for targets' first heartbeats
	workload  workload
	posts     postLog
	// crowded is set while there is a crowd.
	crowded   atomic.Bool
	began     time.Time
	store     *platformtest.Store
	balancers []*host
	agents    []*agentHost
	// copied is the contents from which the store is restored next.
	copied   platformtest.Copy
	fabric   *fabric
	callers  *callers
	stopping atomic.Bool
	group    sync.WaitGroup

	mu         sync.Mutex
	lastFault  string
	violations []error
}

// Result counts what callers saw.
type Result struct {
	Opened, FailedOpens, Answered, Hung, Resets, Errors, Posts, FailedPosts int
}

// Run runs a deployment under faults and returns what callers saw, with an error
// for each broken promise. It ends its processes also when the context ends.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{ctx: ctx, options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)),
		wide: rand.New(rand.NewPCG(o.Seed, 2)), links: rand.New(rand.NewPCG(o.Seed, 3)),
		drills: rand.New(rand.NewPCG(o.Seed, 4)), outages: rand.New(rand.NewPCG(o.Seed, 5)),
		overloads: rand.New(rand.NewPCG(o.Seed, 6)), beats: rand.New(rand.NewPCG(o.Seed, 7)), began: time.Now(), store: platformtest.NewStore()}
	r.workload = drawWorkload(r.overloads, &o)
	r.note("workload %+v", r.workload)
	defer r.end()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	r.sleep(settle)
	r.copyStore()
	if o.Sabotage != "" {
		r.sabotage(o.Sabotage)
	}
	for end := time.Now().Add(o.For); ctx.Err() == nil && time.Now().Before(end); {
		if o.Breadth == All {
			r.overloadFault() // first, so that the others overlap with it
		}
		r.fault()
		if o.Breadth != Narrow && r.wide.IntN(wideEvery) == 0 {
			r.wideFault()
		}
		if o.Breadth <= Linked && r.links.IntN(linkEvery) == 0 {
			r.linkFault()
		}
		if o.Breadth <= Undeclared && r.drills.IntN(drillEvery) == 0 {
			r.drill()
		}
		if o.Breadth <= Undeclared && r.outages.IntN(outageEvery) == 0 {
			r.outage()
		}
		if o.Breadth == All && r.beats.IntN(unannouncedEvery) == 0 {
			r.unannounced()
		}
		r.sleep(time.Duration(r.rand.IntN(maxPause)) * time.Millisecond)
	}
	r.heal()
	r.sleep(settle)
	before := r.callers.result()
	r.sleep(settle / 2)
	if ctx.Err() != nil {
		return before, ctx.Err()
	}
	after := r.callers.result()
	if opened, failed := after.Opened-before.Opened, after.FailedOpens-before.FailedOpens; float64(opened) < openable*float64(opened+failed) {
		r.violate("after the last fault %d of %d flows did not open", failed, opened+failed)
	}
	if after.Answered == before.Answered {
		r.violate("after the last fault no request was answered")
	}
	r.checkHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	return after, errors.Join(r.violations...)
}

// highRevision is where the store's counter starts at every second seed: it fits neither in the
// 44 bits of a packed revision nor in a floating-point number.
const highRevision = 1<<53 + 1

// sleep waits for the duration or the context's end.
func (r *run) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

func (r *run) start() error {
	o := &r.options
	if o.Balancers == 0 {
		o.Balancers, o.Agents, o.Callers = 2, 4, 20
	}
	// Each run has hosts of its own, so that two can run at once.
	net := int(o.Seed%200) + 20
	storeIP := fmt.Sprintf("127.%d.0.1", net)
	storeAddr := fmt.Sprintf("%s:%d", storeIP, portStore)
	for i := range o.Balancers {
		r.balancers = append(r.balancers, &host{
			name: fmt.Sprintf("balancer-%d", i), ip: fmt.Sprintf("127.%d.1.%d", net, i+1), domain: "d0", role: "balancer",
			binary: o.Binary, dir: o.Dir,
		})
	}
	for i := range o.Agents {
		r.agents = append(r.agents, &agentHost{host: host{
			name: fmt.Sprintf("agent-%d", i), ip: fmt.Sprintf("127.%d.2.%d", net, i+1), domain: fmt.Sprintf("d%d", i%2), role: "agent",
			binary: o.Binary, dir: o.Dir,
		}})
	}
	if err := r.startLinks(net); err != nil {
		return err
	}
	if o.Breadth == All && o.Seed%2 == 1 {
		r.store.StartAt(highRevision)
	}
	if err := r.store.Serve(storeAddr); err != nil {
		return err
	}
	r.configure(1)
	var err error
	if r.fabric, err = newFabric(r.balancers); err != nil {
		return err
	}
	for _, h := range r.hosts() {
		h.storeAddr = fmt.Sprintf("%s:%d", h.ip, portStore)
		if h.way, err = relay.Start(h.storeAddr, storeAddr, log.NewNopLogger()); err != nil {
			return err
		}
	}
	for _, h := range r.agents {
		if err := h.start(); err != nil {
			return err
		}
		if h.target, err = startTarget(r, h, r.firstBeat()); err != nil {
			return err
		}
	}
	for _, h := range r.balancers {
		if err := h.start(); err != nil {
			return err
		}
	}
	r.group.Go(func() { r.fabric.probe(r.stopping.Load) })
	r.callers, err = startCallers(r, fmt.Sprintf("127.%d.3.1", net), o.Callers)
	return err
}

// fault injects one fault. Those that last are undone in the background, so that
// faults overlap.
func (r *run) fault() {
	b := r.balancers[r.rand.IntN(len(r.balancers))]
	a := r.agents[r.rand.IntN(len(r.agents))]
	pause := time.Duration(300+r.rand.IntN(1500)) * time.Millisecond
	switch r.rand.IntN(10) {
	case 0:
		r.restart(b, syscall.SIGTERM)
	case 1:
		r.restart(b, syscall.SIGKILL)
	case 2:
		r.restart(&a.host, syscall.SIGTERM)
	case 3:
		r.restart(&a.host, syscall.SIGKILL)
	case 4:
		r.pause(b, pause)
	case 5:
		r.pause(&a.host, pause)
	case 6:
		r.replaceTarget(a, pause)
	case 7:
		faults := []platformtest.Faults{{Refuse: true}, {Silent: true}, {Delay: 200 * time.Millisecond}, {Lost: 0.5}}
		f := faults[r.rand.IntN(len(faults))]
		r.note("store %+v for %v", f, pause)
		r.store.SetFaults(f)
		time.AfterFunc(pause, func() { r.store.SetFaults(platformtest.Faults{}) })
	case 8:
		r.note("store forgets its history after a change")
		r.configure(2 + int(time.Since(r.began).Milliseconds()))
		r.store.Compact()
	case 9:
		r.note("settings of %s are read again", b.name)
		b.signal(syscall.SIGHUP)
		a.signal(syscall.SIGHUP)
	}
}

// restart ends a process and starts it again, in the order of the calls.
func (r *run) restart(h *host, s syscall.Signal) {
	r.note("%s gets %v and starts again", h.name, s)
	h.stop(s, stopPatience)
	if err := h.start(); err != nil {
		r.violate("%s does not start: %v", h.name, err)
	}
}

func (r *run) pause(h *host, d time.Duration) {
	r.note("%s is paused for %v", h.name, d)
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

// replaceTarget drains a target, ends it and starts another one.
func (r *run) replaceTarget(a *agentHost, drain time.Duration) {
	r.note("the target of %s drains for %v and is replaced", a.name, drain)
	old := a.target
	old.mu.Lock()
	old.draining = true
	old.mu.Unlock()
	time.Sleep(drain)
	if old.mu.Lock(); old.lateOpens > 0 {
		r.violate("the draining target of %s was sent %d flows later than %v", a.name, old.lateOpens, drainGrace)
	}
	old.mu.Unlock()
	old.end()
	time.Sleep(100 * time.Millisecond)
	r.restartTarget(a)
}

// restartTarget starts a target in place of one that has ended.
func (r *run) restartTarget(a *agentHost) { r.startTargetAfter(a, r.firstBeat()) }

// startTargetAfter starts a target in place of one that has ended. It sends its first
// heartbeat after a time.
func (r *run) startTargetAfter(a *agentHost, firstBeat time.Duration) {
	next, err := startTarget(r, a, firstBeat)
	if err != nil {
		r.violate("the target of %s does not start: %v", a.name, err)
		return
	}
	r.mu.Lock()
	a.target = next
	r.mu.Unlock()
}

// holder returns the host whose target holds an open flow, nil if none does or
// its processes were disturbed lately.
func (r *run) holder(f steering.Flow) *agentHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		if a.target.holds(f) {
			return a
		}
	}
	return nil
}

// hosts returns all hosts.
func (r *run) hosts() []*host {
	out := slices.Clone(r.balancers)
	for _, a := range r.agents {
		out = append(out, &a.host)
	}
	return out
}

func (r *run) checkHosts() {
	for _, h := range r.hosts() {
		r.checkHost(h)
	}
}

func (r *run) checkHost(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, what := range h.unplanned {
		r.violate("%s", what)
	}
}

// note writes a line of the timeline.
func (r *run) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault = line
	if r.options.Timeline != nil {
		_, _ = fmt.Fprintln(r.options.Timeline, line)
	}
}

// violate notes a broken promise with the fault before it.
func (r *run) violate(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Errorf("%8.3f s: %s (last fault: %s)",
		time.Since(r.began).Seconds(), fmt.Sprintf(format, values...), strings.TrimSpace(r.lastFault)))
}

func (c *callers) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Result{Opened: c.opened, FailedOpens: c.failedOpens, Answered: c.answered, Hung: c.hung, Resets: c.resets,
		Errors: c.errors, Posts: c.posts, FailedPosts: c.failedPosts}
}

// end ends everything that the run started.
func (r *run) end() {
	r.stopping.Store(true)
	var stops sync.WaitGroup
	for _, h := range r.hosts() {
		if h.exited != nil {
			stops.Go(func() { h.stop(syscall.SIGKILL, stopPatience) })
		}
	}
	for _, a := range r.agents {
		if a.target != nil {
			a.target.end()
		}
	}
	stops.Wait()
	for _, h := range r.hosts() {
		if h.way != nil {
			h.way.Close()
		}
	}
	for _, a := range r.agents {
		if a.link != nil {
			a.link.Close()
		}
	}
	r.group.Wait()
	if r.callers != nil {
		_ = r.callers.conn.Close()
	}
	if r.fabric != nil {
		_ = r.fabric.conn.Close()
	}
	_ = r.store.Close()
}
