package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// declaredOf is how many seeds there are for one whose routes declare no demand.
	declaredOf = 3
	// crowdFactor is how many times the usual callers there are in a crowd.
	crowdFactor = 4
	// crowdPause is the pause of a crowd's callers between two requests.
	crowdPause = 20 * time.Millisecond
	// crowdWarmup is how much of a crowd the check of starvation leaves out: half of the posts'
	// timeout, after which a balancer counts a backlog as overload, at a coarse grain.
	crowdWarmup = time.Second
	// minFeeds and minPosts are the smallest sample from which starvation is concluded.
	minFeeds, minPosts = 100, 20
	// minPostShare is the share of posts that must be served under a crowd while feeds are. The
	// goal of the specification is 0.95 at four times the load. A quarter is left for a domain
	// that is out (half of the targets) and one of the others failing or stopped at the same
	// time (half of the rest).
	minPostShare = 0.25
	// callSlack is how much later than its timeout a call may end on a busy machine.
	callSlack = time.Second
	// slowFactor is how many times its usual work time a slow target takes.
	slowFactor = 10
	// steadyAfter is how long the agent's process, the target's process and its slots have to be
	// unchanged before a request counts for the limit on concurrency: a heartbeat takes up to
	// 200 ms to tell the slots, flows are learned anew within a second of a restart, and until
	// then requests are not kept, as their objective is unknown. The rest is for a busy machine.
	steadyAfter = 2 * time.Second
)

// postAddress is the address of the posts' route. Feeds use platformtest.RouteAddress.
var postAddress = steering.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

// workload is how targets and routes of a run are set up.
type workload struct {
	// declared is whether routes declare priority, objective and timeout.
	declared              bool
	feedSLO, postSLO      int // in milliseconds
	feedTimeout, postTime time.Duration
	slots                 int
	work                  time.Duration
}

// drawWorkload draws the workload of a run. One seed in declaredOf has routes and targets as
// earlier deployments have them.
func drawWorkload(random *rand.Rand, o *Options) workload {
	w := workload{feedTimeout: requestLimit, postTime: requestLimit, slots: targetSlots, work: workTime}
	if o.Breadth != All || random.IntN(declaredOf) == 0 && o.Sabotage == "" {
		return w
	}
	w.declared = true
	w.feedSLO, w.postSLO = 200+random.IntN(200), 250+random.IntN(250)
	w.feedTimeout = time.Duration(2500+random.IntN(1500)) * time.Millisecond
	w.postTime = time.Duration(2500+random.IntN(1500)) * time.Millisecond
	w.slots = 2 + random.IntN(3)
	w.work = time.Duration(20+random.IntN(15)) * time.Millisecond
	return w
}

// configure writes the operators' configuration of the workload.
func (r *run) configure(version int) {
	if r.options.Breadth != All {
		r.store.Configure(version, serviceName)
		return
	}
	demand := func(priority, objective int, timeout time.Duration) string {
		if !r.workload.declared {
			return ""
		}
		return fmt.Sprintf(`"prio":%d,"slo_ms":%d,"timeout_ms":%d,`, priority, objective, timeout.Milliseconds())
	}
	r.store.Write("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"feed","host":"198.18.0.1","prefix":"/443/","type":"idempotent",%s"service":%q},`+
		`{"name":"post","host":"198.18.0.2","prefix":"/443/","type":"non_idempotent",%s"service":%q}],`+
		`"services":[{"name":%q,"warmup_per_s":0}]}`,
		version, demand(2, r.workload.feedSLO, r.workload.feedTimeout), serviceName,
		demand(1, r.workload.postSLO, r.workload.postTime), serviceName, serviceName))
}

// targetMode is how a target behaves.
type targetMode int

const (
	modeUsual targetMode = iota
	// modeResetRequests resets each flow on which a request arrives.
	modeResetRequests
	// modeResetOpenings rejects each opening.
	modeResetOpenings
	// modeSlow takes slowFactor times as long for a request.
	modeSlow
	// modeErrors answers each request with an error at once.
	modeErrors
	// modeFewSlots has one slot.
	modeFewSlots
	// modeSilent answers nothing. Only sabotage uses it.
	modeSilent
)

func (m targetMode) String() string {
	return [...]string{"is as usual", "resets requests", "resets openings", "is slow", "answers errors", "has one slot", "is silent"}[m]
}

// overloadFault injects a crowd, or has one or two targets behave badly for a while.
func (r *run) overloadFault() {
	pause := time.Duration(1000+r.overloads.IntN(3000)) * time.Millisecond
	mode := targetMode(r.overloads.IntN(int(modeSilent)))
	if mode == modeUsual {
		r.startCrowd(pause + crowdWarmup)
		return
	}
	first := r.overloads.IntN(len(r.agents))
	for i := range 1 + r.overloads.IntN(2) {
		a := r.agents[(first+i)%len(r.agents)]
		r.note("the target of %s %v for %v", a.name, mode, pause)
		r.mu.Lock()
		t := a.target
		r.mu.Unlock()
		t.setMode(mode, pause)
	}
}

// startCrowd adds callers for a while and checks in the background that their posts are not
// starved.
func (r *run) startCrowd(d time.Duration) {
	if !r.crowded.CompareAndSwap(false, true) {
		return // one crowd at a time bounds the load
	}
	extra := (crowdFactor - 1) * r.options.Callers
	r.note("a crowd of %d callers more for %v", extra, d)
	end := time.Now().Add(d)
	gone := func() bool { return r.stopping.Load() || time.Now().After(end) }
	for i := range extra {
		r.group.Go(func() { r.callers.call(i, crowdPause, gone) })
	}
	r.group.Go(func() {
		defer r.crowded.Store(false)
		r.sleep(crowdWarmup)
		before := r.callers.result()
		r.sleep(time.Until(end))
		if r.ctx.Err() == nil && !r.stopping.Load() && r.workload.declared {
			r.checkStarvation(before, r.callers.result())
		}
	})
}

// checkStarvation checks that posts were served between two results if feeds were.
func (r *run) checkStarvation(before, after Result) {
	feeds := after.Answered - before.Answered
	served, failed := after.Posts-before.Posts, after.FailedPosts-before.FailedPosts
	r.note("in the crowd %d feeds were answered, %d posts served and %d not", feeds, served, failed)
	if feeds >= minFeeds && served+failed >= minPosts && float64(served) < minPostShare*float64(served+failed) {
		r.violate("posts starved in a crowd: %d of %d were served, beside %d feeds", served, served+failed, feeds)
	}
}

// postLog counts how often each post was run.
type postLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// ran records that a target runs a post and returns how often that happened.
func (p *postLog) ran(post string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs == nil {
		p.runs = make(map[string]int)
	}
	p.runs[post]++
	return p.runs[post]
}

func (p *postLog) count(post string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[post]
}

// sabotageOverload breaks a promise of overload control.
func (r *run) sabotageOverload(what Sabotage) {
	a := r.agents[1]
	switch what {
	case SabotageTwice:
		r.anyPost(func(post string) bool { return r.posts.count(post) == 1 }, func(post string) {
			r.runAt(a.target, post, 0)
		})
	case SabotageNotRun:
		for i := range 10 { // of many, as a flow may have opened before
			for _, each := range r.agents {
				each.target.setMode(modeSilent, settle)
			}
			r.anyPost(func(post string) bool { return r.posts.count(post) == 0 }, func(post string) {
				a.target.setMode(modeUsual, 0)
				r.runAt(a.target, post, uint16(i))
				r.refuse(post)
			})
		}
	case SabotageLimit:
		for i := range 4 * targetSlots {
			r.runAt(a.target, fmt.Sprintf("excess %d", i), uint16(i))
		}
	case SabotageLate:
		r.callers.late.Store(int64(2*callSlack + time.Second))
		for _, each := range r.agents {
			each.target.setMode(modeSilent, settle+2*requestLimit)
		}
		r.sleep(2 * requestLimit)
	case SabotageStarve:
		r.fabric.drop(postAddress)
		r.startCrowd(2 * requestLimit)
		r.sleep(2 * requestLimit)
	}
}

// refuse resets the flow of a post.
func (r *run) refuse(post string) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, f := range r.callers.flows {
		if f.post == post {
			r.toCaller(platformtest.NewPacket(f.flow.Address, f.flow.Caller, platformtest.FlagRST, 1, 0, nil))
		}
	}
}

// anyPost waits for a post in progress that matches and passes it on.
func (r *run) anyPost(matches func(string) bool, do func(string)) {
	for r.ctx.Err() == nil {
		found := ""
		r.callers.mu.Lock()
		for _, f := range r.callers.flows {
			if f.post != "" && matches(f.post) {
				found = f.post
			}
		}
		r.callers.mu.Unlock()
		if found != "" {
			do(found)
			return
		}
		r.sleep(time.Millisecond)
	}
}

// runAt sends a request to a target past the balancers and the agent.
func (r *run) runAt(t *target, data string, port uint16) {
	flow := steering.Flow{Caller: steering.Endpoint{Port: port}, Address: postAddress}
	t.handle(steering.Segment{Flow: flow, Flags: steering.FlagOpen})
	t.mu.Lock()
	ack := t.flows[flow].seq + 1
	t.mu.Unlock()
	raw := platformtest.NewPacket(flow.Caller, flow.Address, platformtest.FlagACK, 2, ack, []byte(data))
	t.handle(steering.Segment{Flow: flow, Flags: steering.FlagAck, Seq: 2, Ack: ack, Len: len(data), Raw: raw})
}
