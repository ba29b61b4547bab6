package store

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// post sends a body and returns the status and the answer, which is empty if
// the connection was closed without one.
func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

const (
	putBody   = `{"success":[{"requestPut":{"key":"YQ==","value":"MQ=="}}]}`
	rangeBody = `{"key":"YQ=="}`
)

func TestSwitchesOverHTTP(t *testing.T) {
	s := New()
	gateway := httptest.NewServer(s.Handler())
	defer gateway.Close()
	admin := httptest.NewServer(s.AdminHandler())
	defer admin.Close()

	if status, _ := post(t, admin.URL+"/faults", `{"lose_answers":1}`); status != http.StatusOK {
		t.Fatalf("faults: status %d", status)
	}
	if status, answer := post(t, gateway.URL+"/v3/kv/txn", putBody); status != 0 {
		t.Errorf("lost answer: %d %s", status, answer)
	}
	if status, answer := post(t, gateway.URL+"/v3/kv/range", rangeBody); status != http.StatusOK || !strings.Contains(answer, `"mod_revision":"2"`) {
		t.Errorf("after the lost answer: %d %s", status, answer)
	}
	post(t, admin.URL+"/faults", `{"down":true}`)
	if status, answer := post(t, gateway.URL+"/v3/kv/range", rangeBody); status != 0 {
		t.Errorf("down: %d %s", status, answer)
	}
	post(t, admin.URL+"/faults", `{}`)
	if status, answer := post(t, gateway.URL+"/v3/kv/txn", "{"); status != http.StatusBadRequest {
		t.Errorf("malformed: %d %s", status, answer)
	}
	response, err := http.Get(admin.URL + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var counts Counts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil || counts != (Counts{Range: 2, Txn: 2}) {
		t.Errorf("counts %+v, %v", counts, err)
	}
}

func TestLeaseEndsByItself(t *testing.T) {
	m := newMemory()
	now := time.Unix(1000, 0)
	if m.expire(now) {
		t.Error("a lease lapsed where there is none")
	}
	id := m.grant(now, &etcdjson.LeaseGrantRequest{TTL: 2}).ID
	m.put(&etcdjson.PutRequest{Key: []byte("a"), Lease: id}, 2)
	if m.expire(now.Add(time.Second)) {
		t.Error("lapsed before its time")
	}
	if !m.expire(now.Add(3*time.Second)) || len(m.pairs) != 0 || m.leases[id] != nil {
		t.Errorf("left after the lapse: %v", m.pairs)
	}
}

func TestCommandServesUntilItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	gateway, admin := freeAddress(t), freeAddress(t)
	done := make(chan error)
	go func() { done <- Command().Run(ctx, []string{"store", "--listen", gateway, "--admin", admin}) }()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if status, _ := post(t, "http://"+gateway+"/v3/kv/range", rangeBody); status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("not serving in time")
		}
	}
	if err := Command().Run(ctx, []string{"store", "--listen", gateway, "--admin", admin}); err == nil {
		t.Error("a second one took the same address")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
