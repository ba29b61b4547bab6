package lifecycle

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Controller writes core.SelfSection.
type Controller struct {
	options Options
	// announcement is what the target said last, nil without a target.
	announcement *core.Announcement
	// withdrawn is set between the target's withdrawal and the end of the last
	// flow that the agent holds for it.
	withdrawn bool
	findings  []findings.Finding
	// generation is the configuration generation of the newest check.
	generation uint64
	// stopAt and leftAt are when the planned stop began and the node left.
	stopAt, leftAt time.Time
	finished       bool
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	return &Controller{options: o.withDefaults()}
}

// Handle updates the node's own record.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.TargetAnnounced:
		c.announced(t, ev.Announcement)
	case core.TargetWithdrawn:
		c.withdrawn = c.announcement != nil
	case core.StopRequested:
		c.requestStop(t)
	case core.MessageReceived:
		refuteClaims(t, ev.Message)
	case core.Tick:
		c.tick(t)
	}
	c.recheck(t)
	c.update(t)
}

func (c *Controller) announced(t *core.Turn, a core.Announcement) {
	c.announcement = &a
	c.withdrawn = false
	t.Board.Self.Subscription = a.Service
	c.check(t)
	t.Emit(core.AnnouncementChecked{Target: a.Target, Findings: c.findings})
}

// recheck repeats the check when the configuration has changed.
func (c *Controller) recheck(t *core.Turn) {
	if c.announcement == nil || c.generation == t.Board.Config.Generation {
		return
	}
	before := c.findings
	c.check(t)
	if !slices.Equal(before, c.findings) {
		t.Emit(core.AnnouncementChecked{Target: c.announcement.Target, Findings: c.findings})
	}
}

func (c *Controller) check(t *core.Turn) {
	self := &t.Board.Self
	c.generation = t.Board.Config.Generation
	c.findings = checkAnnouncement(c.announcement, t.Board.Config.Current, self.Member.Domain)
}

func (c *Controller) requestStop(t *core.Turn) {
	if t.Board.Self.Stopping {
		return
	}
	t.Board.Self.Stopping = true
	c.stopAt = t.Now
}

// tick ends a planned stop once nothing is held or its limit has passed.
func (c *Controller) tick(t *core.Turn) {
	self := &t.Board.Self
	switch {
	case !self.Stopping || c.finished:
	case c.leftAt.IsZero():
		if c.mayLeave(t) {
			c.leftAt = t.Now
		}
	case t.Now.Sub(c.leftAt) >= c.options.LeaveDelay:
		c.finished = true
		t.Emit(core.StopFinished{OpenFlows: t.Board.Flows.Local})
	}
}

func (c *Controller) mayLeave(t *core.Turn) bool {
	waited := t.Now.Sub(c.stopAt)
	if t.Board.Self.Member.Role == model.RoleBalancer {
		return waited >= c.options.BalancerDrainDuration
	}
	idle := t.Board.Flows.Local == 0 && t.Board.Load.InFlight == 0 && t.Board.Load.Queued == 0
	return idle || waited >= c.options.DrainTimeout
}

// update derives the record from the configuration, the target and the stop.
// Every change raises the revision.
func (c *Controller) update(t *core.Turn) {
	self := &t.Board.Self
	cfg := t.Board.Config.Current
	self.DomainOut = cfg.DomainOut(self.Member.Domain)
	c.forgetTarget(t)
	accepted := c.announcement != nil && len(c.findings) == 0
	self.TargetAccepted = accepted && !c.withdrawn
	next := self.Member
	c.describeTarget(&next, cfg, accepted)
	next.State = c.state(self, cfg)
	if next == self.Member {
		return
	}
	next.Revision++
	self.Member = next
}

// forgetTarget drops a withdrawn target once no flow is held for it. Until then
// the agent remains the holder of its flows and hands their requests over.
func (c *Controller) forgetTarget(t *core.Turn) {
	if c.withdrawn && (t.Board.Flows.Local == 0 || len(c.findings) > 0) {
		c.announcement = nil
		c.withdrawn = false
		c.findings = nil
	}
}

func (c *Controller) describeTarget(m *model.Member, cfg *model.Config, announced bool) {
	m.Service, m.Target, m.Slots, m.Connections = "", "", 0, 0
	if !announced {
		return
	}
	service := cfg.Service(c.announcement.Service)
	m.Service = service.Name
	m.Target = c.announcement.Target
	m.Slots = clip(c.announcement.Slots, service.MaxSlots)
	m.Connections = clip(c.announcement.Connections, service.MaxConnections)
}

func (c *Controller) state(self *core.SelfSection, cfg *model.Config) model.MemberState {
	if !c.leftAt.IsZero() {
		return model.StateLeft
	}
	draining := c.announcement != nil && (c.withdrawn || c.announcement.Draining || cfg.TargetDrained(c.announcement.Target))
	if self.Stopping || draining {
		return model.StateDraining
	}
	return model.StateAlive
}
