package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// group is the endpoints of one service.
type group struct {
	service     string
	targets     int
	slots       int
	connections int
}

// layout describes the size of a deployment. Targets and balancers are assigned
// to the failure domains round robin.
type layout struct {
	// program is the name of the program that prints the configuration.
	program   string
	cluster   string
	domains   []string
	balancers int
	groups    []group
	// opaque switches all services to opaque flows (mode flow).
	opaque bool
}

// layouts are the deployments that scripts start by name. "authority" and
// "vatukoula" have the sizes of the two users' deployments, "small" is a subset of
// the Authority's, and "opaque" is the same subset in mode flow.
var layouts = map[string]layout{
	"authority": {
		program: "authority", cluster: "authority", balancers: 3,
		domains: []string{"om-north-a", "om-north-b", "om-north-c"},
		groups:  []group{{"lease-desk", 7, 10, 2000}, {"drawings", 3, 10, 2000}},
	},
	"vatukoula": {
		program: "vatukoula", cluster: "vatukoula", balancers: 3,
		domains: []string{"fj-central-a", "fj-central-b", "fj-central-c", "fj-central-d"},
		groups:  []group{{"reconciliation", 7, 5, 2000}, {"statement-generation", 4, 5, 2000}},
	},
	"small": {
		program: "authority", cluster: "authority", balancers: 2,
		domains: []string{"om-north-a", "om-north-b", "om-north-c"},
		groups:  []group{{"lease-desk", 3, 10, 2000}, {"drawings", 1, 10, 2000}},
	},
	"opaque": {
		program: "authority", cluster: "authority", balancers: 2, opaque: true,
		domains: []string{"om-north-a", "om-north-b", "om-north-c"},
		groups:  []group{{"lease-desk", 3, 10, 2000}, {"drawings", 1, 10, 2000}},
	},
}

// findLayout returns the layout with the given name.
func findLayout(name string) (layout, error) {
	if l, ok := layouts[name]; ok {
		return l, nil
	}
	var names []string
	for n := range layouts {
		names = append(names, n)
	}
	slices.Sort(names)
	return layout{}, fmt.Errorf("unknown deployment %q, want %s", name, strings.Join(names, ", "))
}

// domainOf returns the failure domain of the nth node of a role, counted from 0.
func (l *layout) domainOf(n int) string { return l.domains[n%len(l.domains)] }

// groupOf returns the group of a service.
func (l *layout) groupOf(service string) (group, error) {
	for _, g := range l.groups {
		if g.service == service {
			return g, nil
		}
	}
	return group{}, fmt.Errorf("the deployment has no service %q", service)
}

// endpointName returns the name of the nth target of a service, counted from
// 0.
func endpointName(service string, n int) string { return fmt.Sprintf("%s-%d", service, n+1) }

// agentName returns the name of the agent of a target.
func agentName(target string) string { return "agent-" + target }

// balancerName returns the name of the nth balancer, counted from 0.
func balancerName(n int) string { return fmt.Sprintf("balancer-%d", n+1) }
