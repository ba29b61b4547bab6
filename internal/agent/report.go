package agent

import (
	"net/http"

	"amaranthwheel.example/amaranthwheel/internal/admin"
	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/directory"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// adminNode returns the agent's callbacks for the admin API.
func (p *Process) adminNode(metrics http.Handler) admin.Node {
	return admin.Node{
		Inspector: p.base,
		Status:    p.addStatus,
		Flows:     p.listFlows,
		Explain:   p.addExplanation,
		Metrics:   metrics,
	}
}

// addStatus adds the agent's fields to the admin API's status.
func (p *Process) addStatus(b *core.Board, s *adminapi.Status) {
	s.Cluster = p.settings.Cluster
	s.Load = &adminapi.Load{
		Limit: b.Load.Limit, Slots: b.Self.Member.Slots,
		InFlight: b.Load.InFlight, Queued: b.Load.Queued, Cold: b.Load.Cold,
	}
	r := b.Requests
	s.Requests = &adminapi.Requests{
		Admitted: r.Admitted, Completed: r.Completed, RefusedNotRun: r.RefusedNotRun,
		OutcomeUnknown: r.OutcomeUnknown, HandedOver: r.HandedOver,
	}
}

func (p *Process) listFlows(b *core.Board, limit int) []adminapi.Flow {
	var out []adminapi.Flow
	for _, f := range p.directory.LocalFlows(limit) {
		out = append(out, flowReport(b, f))
	}
	return out
}

func flowReport(b *core.Board, f directory.LocalFlow) adminapi.Flow {
	return adminapi.Flow{
		Caller: f.Flow.Caller, Service: b.Self.Member.Service,
		Established: f.Established, Since: f.Since.UTC(), LastSeen: f.LastSeen.UTC(), Home: f.Home,
	}
}

// addExplanation adds the local flow and the directory entry to the admin API's
// explanation of a flow.
func (p *Process) addExplanation(b *core.Board, flow model.FlowKey, e *adminapi.Explanation) {
	if f, ok := p.directory.LocalFlow(flow); ok {
		localFlow := flowReport(b, f)
		e.LocalFlow = &localFlow
	}
	if entry, ok := p.directory.LookupEntry(flow); ok {
		e.Directory = &adminapi.DirectoryEntry{
			Holder: entry.Holder, HolderIncarnation: entry.Incarnation,
			HolderAdmin: b.Members.Records[entry.Holder].AdminAddr,
			Since:       entry.Since.UTC(), Established: entry.Established,
		}
	}
}
