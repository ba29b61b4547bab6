package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// BenchmarkQueryFleet queries a fleet once, as each round of a wait does. Three
// balancers watch each agent, and one balancer is named in the settings.
func BenchmarkQueryFleet(b *testing.B) {
	const watchers = 3
	for _, size := range []struct{ balancers, agents int }{{10, 100}, {610, 5500}} {
		b.Run(fmt.Sprintf("balancers=%d,agents=%d", size.balancers, size.agents), func(b *testing.B) {
			statuses := make([]adminapi.Status, size.balancers)
			addresses := make([]netip.AddrPort, size.balancers)
			for i := range statuses {
				statuses[i] = adminapi.Status{Node: model.NodeID(fmt.Sprintf("balancer-%04d", i)), Role: adminapi.RoleBalancer, Incarnation: 1, ConfigVersion: 9}
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					json.NewEncoder(w).Encode(&statuses[i])
				}))
				b.Cleanup(server.Close)
				addresses[i] = netip.MustParseAddrPort(server.Listener.Addr().String())
			}
			for i, address := range addresses {
				statuses[0].Members = append(statuses[0].Members, recordFromStatus(address, &statuses[i]))
			}
			for i := range size.agents {
				node := model.NodeID(fmt.Sprintf("agent-%05d", i))
				statuses[0].Members = append(statuses[0].Members, adminapi.Member{
					Node: node, Role: adminapi.RoleAgent, State: adminapi.StateAlive, Incarnation: 1, Revision: 1,
					Service: "lease-desk", Target: "lease-desk-1", Domain: "om-north-a", Slots: 10, Connections: 2000,
				})
				for w := range watchers {
					watching := &statuses[(i+w)%size.balancers]
					watching.Watched = append(watching.Watched, adminapi.WatchedAgent{Node: node, Incarnation: 1, ConfigVersion: 9})
				}
			}
			for b.Loop() {
				client := adminapi.NewClient(0)
				fleet, err := queryFleet(b.Context(), client, &settings{balancers: addresses[:1]})
				if err != nil {
					b.Fatal(err)
				}
				if report := fleet.inForceReport(9); !report.InForce || report.Nodes != size.balancers+size.agents {
					b.Fatalf("%d nodes, %d lag", report.Nodes, len(report.Lagging))
				}
				client.Close()
			}
		})
	}
}
