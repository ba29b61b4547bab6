package dissemination

import (
	"cmp"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// objectsFor returns the objects that a peer at the version lacks. For an
// agent they are those that its subscription covers. If the subscribed
// service has changed, it may cover objects that it did not cover before, so
// all of them are returned.
func objectsFor(cfg *model.Config, s *core.Session, domain model.DomainName, since uint64) []model.Object {
	if s.Role == model.RoleBalancer {
		return cfg.ChangedSince(since)
	}
	f := agentFilter{service: s.Service, domain: domain}
	if held, ok := cfg.Objects[model.ObjectKey{Kind: model.KindService, Name: string(s.Service)}]; ok {
		f.declared = held.Service
		if held.Version > since {
			since = 0
		}
	}
	var out []model.Object
	for _, o := range cfg.Objects {
		if o.Version > since && f.covers(&o) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b model.Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), a.Key.Compare(b.Key))
	})
	return out
}

// agentFilter selects the objects that concern one agent.
type agentFilter struct {
	service  model.ServiceName
	declared *model.Service // nil if the service does not exist
	domain   model.DomainName
}

func (f *agentFilter) covers(o *model.Object) bool {
	switch o.Key.Kind {
	case model.KindService:
		return o.Key.Name == string(f.service)
	case model.KindDomain, model.KindDomainState:
		name := model.DomainName(o.Key.Name)
		return name == f.domain || (f.declared != nil && slices.Contains(f.declared.Domains, name))
	case model.KindTargetState:
		return f.declared != nil && allowsInAnyDomain(f.declared, model.TargetName(o.Key.Name))
	}
	return false
}

func allowsInAnyDomain(s *model.Service, target model.TargetName) bool {
	return slices.ContainsFunc(s.Domains, func(d model.DomainName) bool { return s.Allows(target, d) })
}
