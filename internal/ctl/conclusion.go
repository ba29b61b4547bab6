package ctl

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// deriveConclusion summarizes in one sentence where the flow is placed and why.
func deriveConclusion(r *explainReport) string {
	holder := findHolder(r.Agents)
	home, agreed := commonHome(r.Balancers)
	switch {
	case holder == "" && home == "" && agreed:
		return "No agent holds the flow, and no candidate can be its home; a new flow would be refused."
	case holder == "":
		return "No agent that answered holds the flow; its next datagram would be " + describeNewFlow(r.Balancers) + "."
	case !agreed:
		return fmt.Sprintf("%s holds the flow; the balancers compute its home differently, because their candidates currently differ.", holder)
	case holder == home:
		return fmt.Sprintf("%s holds the flow: it ranks first, so it is the flow's home as well.", holder)
	case homeKnowsHolder(r.Agents, home, holder):
		return fmt.Sprintf("%s holds the flow, because it admitted the flow; the home %s, which ranks first now, knows this and sends datagrams on.", holder, home)
	}
	return fmt.Sprintf("%s holds the flow, but the home %s has no entry for it; the holder has yet to register there.", holder, home)
}

// findHolder returns the agent that holds the flow, or "" if none of the agents
// does.
func findHolder(agents []adminapi.Explanation) model.NodeID {
	for _, e := range agents {
		if e.LocalFlow != nil {
			return e.Node
		}
	}
	return ""
}

// commonHome returns the home of the flow and whether all balancers agree on
// it.
func commonHome(balancers []adminapi.Explanation) (model.NodeID, bool) {
	var home model.NodeID
	for i, b := range balancers {
		var routeHome model.NodeID
		if b.Route != nil {
			routeHome = b.Route.Home
		}
		if i > 0 && routeHome != home {
			return "", false
		}
		home = routeHome
	}
	return home, true
}

// describeNewFlow describes the treatment of a new flow: the agent that is
// offered it first, or its refusal.
func describeNewFlow(balancers []adminapi.Explanation) string {
	for _, b := range balancers {
		if b.Route == nil {
			continue
		}
		for _, c := range b.Route.Candidates {
			if c.AcceptsNewFlows {
				return fmt.Sprintf("a new flow, offered first to %s", c.Node)
			}
		}
	}
	return "refused as a new flow, because no candidate admits one"
}

// homeKnowsHolder reports whether the home has a directory entry that names the
// holder.
func homeKnowsHolder(agents []adminapi.Explanation, home, holder model.NodeID) bool {
	for _, e := range agents {
		if e.Node == home && e.Directory != nil && e.Directory.Holder == holder {
			return true
		}
	}
	return false
}
