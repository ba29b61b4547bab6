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
	// announcement is the target's newest announcement, nil without a target.
	announcement *core.Announcement
	// withdrawn is set between the target's withdrawal and the end of its last
	// local flow.
	withdrawn bool
	findings  []findings.Finding
	// configGeneration is the configuration generation of the newest check.
	configGeneration uint64
	// stopRequestedAt is when the planned stop began, and leftAt is when the
	// node's state became left.
	stopRequestedAt, leftAt time.Time
	stopFinished            bool
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	return &Controller{options: o.withDefaults()}
}

// Handle updates the node's own record and its stop state.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.TargetAnnounced:
		c.handleAnnouncement(t, ev.Announcement)
	case core.TargetWithdrawn:
		c.withdrawn = c.announcement != nil
	case core.StopRequested:
		c.requestStop(t)
	case core.MessageReceived:
		refuteRecords(t, ev.Message)
	case core.Tick:
		c.tick(t)
	}
	c.recheckAnnouncement(t)
	c.updateRecord(t)
}

func (c *Controller) handleAnnouncement(t *core.Turn, a core.Announcement) {
	c.announcement = &a
	c.withdrawn = false
	t.Board.Self.Subscription = a.Service
	c.updateFindings(t)
	t.Emit(core.AnnouncementChecked{Target: a.Target, Findings: c.findings})
}

// recheckAnnouncement repeats the check when the configuration has changed.
func (c *Controller) recheckAnnouncement(t *core.Turn) {
	if c.announcement == nil || c.configGeneration == t.Board.Config.Generation {
		return
	}
	previous := c.findings
	c.updateFindings(t)
	if !slices.Equal(previous, c.findings) {
		t.Emit(core.AnnouncementChecked{Target: c.announcement.Target, Findings: c.findings})
	}
}

func (c *Controller) updateFindings(t *core.Turn) {
	self := &t.Board.Self
	c.configGeneration = t.Board.Config.Generation
	c.findings = checkAnnouncement(c.announcement, t.Board.Config.Current, self.Member.Domain)
}

func (c *Controller) requestStop(t *core.Turn) {
	if t.Board.Self.Stopping {
		return
	}
	t.Board.Self.Stopping = true
	c.stopRequestedAt = t.Now
}

// tick completes a planned stop once the node may leave.
func (c *Controller) tick(t *core.Turn) {
	self := &t.Board.Self
	switch {
	case !self.Stopping || c.stopFinished:
	case c.leftAt.IsZero():
		if c.canLeave(t) {
			c.leftAt = t.Now
		}
	case t.Now.Sub(c.leftAt) >= c.options.LeaveDelay:
		c.stopFinished = true
		t.Emit(core.StopFinished{OpenFlows: t.Board.Flows.Local})
	}
}

func (c *Controller) canLeave(t *core.Turn) bool {
	waited := t.Now.Sub(c.stopRequestedAt)
	if t.Board.Self.Member.Role == model.RoleBalancer {
		return waited >= c.options.BalancerDrainDuration
	}
	idle := t.Board.Flows.Local == 0 && t.Board.Load.InFlight == 0 && t.Board.Load.Queued == 0
	return idle || waited >= c.options.DrainTimeout
}

// updateRecord derives the record from the configuration, the announcement and
// the stop state. Every change increments the revision.
func (c *Controller) updateRecord(t *core.Turn) {
	self := &t.Board.Self
	cfg := t.Board.Config.Current
	self.DomainOut = cfg.DomainOut(self.Member.Domain)
	c.removeWithdrawnTarget(t)
	accepted := c.announcement != nil && len(c.findings) == 0
	self.TargetAccepted = accepted && !c.withdrawn
	next := self.Member
	c.setTarget(&next, cfg, accepted)
	next.State = c.memberState(self, cfg)
	if next == self.Member {
		return
	}
	next.Revision++
	self.Member = next
}

// removeWithdrawnTarget removes a withdrawn target once it has no local flow.
// Until then the agent remains the holder of its flows and hands their requests
// over.
func (c *Controller) removeWithdrawnTarget(t *core.Turn) {
	if c.withdrawn && (t.Board.Flows.Local == 0 || len(c.findings) > 0) {
		c.announcement = nil
		c.withdrawn = false
		c.findings = nil
	}
}

func (c *Controller) setTarget(m *model.Member, cfg *model.Config, accepted bool) {
	m.Service, m.Target, m.Slots, m.Connections = "", "", 0, 0
	if !accepted {
		return
	}
	service := cfg.Service(c.announcement.Service)
	m.Service = service.Name
	m.Target = c.announcement.Target
	m.Slots = atMost(c.announcement.Slots, service.MaxSlots)
	m.Connections = atMost(c.announcement.Connections, service.MaxConnections)
}

func (c *Controller) memberState(self *core.SelfSection, cfg *model.Config) model.MemberState {
	if !c.leftAt.IsZero() {
		return model.StateLeft
	}
	draining := c.announcement != nil && (c.withdrawn || c.announcement.Draining || cfg.TargetDrained(c.announcement.Target))
	if self.Stopping || draining {
		return model.StateDraining
	}
	return model.StateAlive
}
