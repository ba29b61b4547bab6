package dissemination

import (
	"cmp"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// missingObjects returns the objects that a peer at the version lacks. An agent
// is sent only those that its subscription covers. If the subscribed service has
// changed, it may cover objects that it did not cover before, so all that it
// covers are returned.
func missingObjects(cfg *model.Config, session *core.Session, domain model.DomainName, since uint64) []model.Object {
	if session.Role == model.RoleBalancer {
		return cfg.ChangedSince(since)
	}
	f := agentFilter{serviceName: session.Service, domain: domain}
	if o, ok := cfg.Objects[model.ObjectKey{Kind: model.KindService, Name: string(session.Service)}]; ok {
		f.service = o.Service
		if o.Version > since {
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
	serviceName model.ServiceName
	service     *model.Service // nil if the service does not exist
	domain      model.DomainName
}

func (f *agentFilter) covers(o *model.Object) bool {
	switch o.Key.Kind {
	case model.KindService:
		return o.Key.Name == string(f.serviceName)
	case model.KindDomain, model.KindDomainState:
		name := model.DomainName(o.Key.Name)
		return name == f.domain || (f.service != nil && slices.Contains(f.service.Domains, name))
	case model.KindTargetState:
		return f.service != nil && allowsInAnyDomain(f.service, model.TargetName(o.Key.Name))
	}
	return false
}

func allowsInAnyDomain(s *model.Service, target model.TargetName) bool {
	return slices.ContainsFunc(s.Domains, func(d model.DomainName) bool { return s.Allows(target, d) })
}
