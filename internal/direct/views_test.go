package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
)

func getView(t *testing.T, h http.Handler, path string, result any) int {
	t.Helper()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	if recorder.Code == http.StatusOK {
		if err := json.Unmarshal(recorder.Body.Bytes(), result); err != nil {
			t.Fatal(err)
		}
	}
	return recorder.Code
}

func TestViewHandlers(t *testing.T) {
	agent := steering.NewAgent(steering.AgentIdentity{Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: time.Second})
	now := time.Now()
	balancer := netip.MustParseAddrPort("10.0.0.2:7000")
	agent.Step(now, &steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: 7, Sequence: 1, Slots: 4})
	agent.Step(now, &steering.PreviousRecord{})
	agent.Step(now, &steering.RecordStored{Incarnation: 7})
	agent.Step(now, &steering.MessageReceived{From: balancer, Message: steering.Message{
		Kind: steering.MessagePing, Limits: steering.Limits{Revision: revision.New(1, 3)},
	}})
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}, Address: steering.Endpoint{IP: [4]byte{6, 7, 8, 9}, Port: 10}}
	agent.Step(now, &steering.MessageReceived{From: balancer, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Segment: steering.Segment{Flow: flow, Flags: steering.FlagOpen},
	}})
	h := (&node{core: agent}).withViewHandlers(http.NotFoundHandler())

	var v steering.View
	if code := getView(t, h, ViewPath, &v); code != http.StatusOK {
		t.Fatalf("status %d", code)
	}
	if v.Role != "agent" || v.Node != "a" || v.Revision != 3 || v.Flows != 1 || v.Refusal != "none" ||
		v.Target == nil || v.Target.Instance != "i" || !v.Target.Complete || len(v.Peers) != 1 || v.Peers[0].Address != balancer {
		t.Errorf("view is %+v", v)
	}
	var f steering.FlowView
	if code := getView(t, h, FlowPath+"?flow="+flow.String(), &f); code != http.StatusOK || !f.Known || f.LastSeenMS < 0 {
		t.Errorf("status %d, flow is %+v", code, f)
	}
	if code := getView(t, h, FlowPath+"?flow=1.2.3.4", nil); code != http.StatusBadRequest {
		t.Errorf("status %d for a bad flow", code)
	}
}
