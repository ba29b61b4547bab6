package lifecycle

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// checkAnnouncement returns all findings on an announcement, given the
// configuration and the agent's failure domain.
func checkAnnouncement(a *core.Announcement, cfg *model.Config, domain model.DomainName) []findings.Finding {
	var list findings.List
	if a.Target == "" {
		list.Addf(findings.Place{Key: "target"}, "the target's name is empty")
	}
	if a.Slots <= 0 {
		list.Addf(findings.Place{Key: "slots"}, "slots are %d, must be at least 1", a.Slots)
	}
	if a.Connections <= 0 {
		list.Addf(findings.Place{Key: "connections"}, "connections are %d, must be at least 1", a.Connections)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		list.Addf(findings.Place{Key: "address"}, "address %q is not an IP address with a port", a.Address)
	}
	service := cfg.Service(a.Service)
	switch {
	case service == nil:
		list.Addf(findings.Place{Key: "service"}, "service %q does not exist", a.Service)
	case !service.Allows(a.Target, domain):
		list.Addf(findings.Place{Key: "target"}, "service %q may not use target %q in failure domain %q", a.Service, a.Target, domain)
	}
	return list.All()
}

// atMost returns the announced number, at most the service's limit. A limit of 0
// means none.
func atMost(announced, limit int) int {
	if limit <= 0 {
		return announced
	}
	return min(announced, limit)
}
