package routing

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// memberIndex knows which agents announce a target of each service, whether
// the service may use them or not.
type memberIndex struct {
	nodes    map[model.ServiceName][]model.NodeID
	services map[model.NodeID]model.ServiceName
}

func newMemberIndex() memberIndex {
	return memberIndex{
		nodes:    make(map[model.ServiceName][]model.NodeID),
		services: make(map[model.NodeID]model.ServiceName),
	}
}

// reset indexes all records afresh.
func (x *memberIndex) reset(records map[model.NodeID]model.Member) {
	*x = newMemberIndex()
	for node, m := range records {
		x.add(node, indexedService(m))
	}
}

// update indexes the changed records and returns the services that they serve
// or served before.
func (x *memberIndex) update(records map[model.NodeID]model.Member, changed []model.NodeID) map[model.ServiceName]struct{} {
	touched := make(map[model.ServiceName]struct{})
	for _, node := range changed {
		before := x.services[node]
		after := indexedService(records[node])
		if before != after {
			x.remove(node, before)
			x.add(node, after)
		}
		touched[before] = struct{}{}
		touched[after] = struct{}{}
	}
	delete(touched, "")
	return touched
}

// indexedService returns the service that a record counts for, empty if none.
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
	x.services[node] = service
	x.nodes[service] = append(x.nodes[service], node)
}

func (x *memberIndex) remove(node model.NodeID, service model.ServiceName) {
	delete(x.services, node)
	nodes := x.nodes[service]
	if i := slices.Index(nodes, node); i >= 0 {
		x.nodes[service] = slices.Delete(nodes, i, i+1)
	}
	if len(x.nodes[service]) == 0 {
		delete(x.nodes, service)
	}
}
