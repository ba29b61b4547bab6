package routing

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// memberIndex maps services to the agents that announce a target of them,
// whether or not the service's configuration allows the target.
type memberIndex struct {
	nodesByService map[model.ServiceName][]model.NodeID
	serviceByNode  map[model.NodeID]model.ServiceName
}

func newMemberIndex() memberIndex {
	return memberIndex{
		nodesByService: make(map[model.ServiceName][]model.NodeID),
		serviceByNode:  make(map[model.NodeID]model.ServiceName),
	}
}

// rebuild indexes all records afresh.
func (x *memberIndex) rebuild(records map[model.NodeID]model.Member) {
	*x = newMemberIndex()
	for node, m := range records {
		x.add(node, indexedService(m))
	}
}

// update indexes the changed records and returns the services that they serve
// or served before.
func (x *memberIndex) update(records map[model.NodeID]model.Member, changed []model.NodeID) map[model.ServiceName]struct{} {
	affected := make(map[model.ServiceName]struct{})
	for _, node := range changed {
		oldService := x.serviceByNode[node]
		newService := indexedService(records[node])
		if oldService != newService {
			x.remove(node, oldService)
			x.add(node, newService)
		}
		affected[oldService] = struct{}{}
		affected[newService] = struct{}{}
	}
	delete(affected, "")
	return affected
}

// indexedService returns the service under which a record is indexed, empty if
// none.
func indexedService(m model.Member) model.ServiceName {
	if m.Role != model.RoleAgent {
		return ""
	}
	return m.Service
}

func (x *memberIndex) add(node model.NodeID, service model.ServiceName) {
	if service == "" {
		return
	}
	x.serviceByNode[node] = service
	x.nodesByService[service] = append(x.nodesByService[service], node)
}

func (x *memberIndex) remove(node model.NodeID, service model.ServiceName) {
	delete(x.serviceByNode, node)
	nodes := x.nodesByService[service]
	if i := slices.Index(nodes, node); i >= 0 {
		x.nodesByService[service] = slices.Delete(nodes, i, i+1)
	}
	if len(x.nodesByService[service]) == 0 {
		delete(x.nodesByService, service)
	}
}
