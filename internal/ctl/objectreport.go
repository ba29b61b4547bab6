package ctl

import (
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
)

// objectReport is a configuration object in JSON. Exactly one of the last four
// fields is set, or none if the object is removed.
type objectReport struct {
	Kind        model.ObjectKind   `json:"kind"`
	Name        string             `json:"name"`
	Version     uint64             `json:"version"`
	Removed     bool               `json:"removed,omitempty"`
	Domain      *model.Domain      `json:"domain,omitempty"`
	DomainState *model.DomainState `json:"domain_state,omitempty"`
	Service     *serviceReport     `json:"service,omitempty"`
	TargetState *model.TargetState `json:"target_state,omitempty"`
}

// serviceReport is a service in JSON. Its durations are written as in the
// declared file.
type serviceReport struct {
	Name           model.ServiceName  `json:"name"`
	Mode           model.Mode         `json:"mode"`
	Address        netip.AddrPort     `json:"address"`
	Domains        []model.DomainName `json:"domains"`
	Targets        []string           `json:"targets"`
	MaxSlots       int                `json:"max_slots"`
	MaxConnections int                `json:"max_connections"`
	IdleTimeout    string             `json:"idle_timeout"`
	RequestTimeout string             `json:"request_timeout"`
}

func objectReports(objects []model.Object) []objectReport {
	reports := make([]objectReport, len(objects))
	for i, o := range objects {
		reports[i] = objectReport{
			Kind: o.Key.Kind, Name: o.Key.Name, Version: o.Version, Removed: o.Deleted(),
			Domain: o.Domain, DomainState: o.DomainState, Service: newServiceReport(o.Service), TargetState: o.TargetState,
		}
	}
	return reports
}

// newServiceReport converts a service. It returns nil for nil.
func newServiceReport(s *model.Service) *serviceReport {
	if s == nil {
		return nil
	}
	return &serviceReport{
		Name: s.Name, Mode: s.Mode, Address: s.Address, Domains: s.Domains, Targets: s.Targets,
		MaxSlots: s.MaxSlots, MaxConnections: s.MaxConnections,
		IdleTimeout:    declaration.FormatDuration(s.IdleTimeout),
		RequestTimeout: declaration.FormatDuration(s.RequestTimeout),
	}
}
