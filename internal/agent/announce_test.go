package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// newTestAPI returns an API whose node replies with the given result, and the
// events posted to that node.
func newTestAPI(result announcementResult) (*announcementAPI, *[]core.Event) {
	events := new([]core.Event)
	a := new(announcementAPI)
	a.post = func(ev core.Event) {
		*events = append(*events, ev)
		if _, ok := ev.(core.TargetAnnounced); ok {
			a.deliverResult(result)
		}
	}
	return a, events
}

func putAnnouncement(t *testing.T, a *announcementAPI, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPut, announcePath, strings.NewReader(body))
	w := httptest.NewRecorder()
	a.handler().ServeHTTP(w, r)
	text, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Code, string(text)
}

const validAnnouncement = `{"target":"lease-desk-1","service":"lease-desk","address":"127.0.0.1:8080","slots":10,"connections":2000,"instance":"a","draining":false}`

func TestAnnouncementIsPostedToNode(t *testing.T) {
	a, events := newTestAPI(announcementResult{})
	if code, body := putAnnouncement(t, a, validAnnouncement); code != http.StatusOK {
		t.Fatalf("got %d %s", code, body)
	}
	ev, ok := (*events)[0].(core.TargetAnnounced)
	if !ok || ev.Announcement.Target != "lease-desk-1" || ev.Announcement.Slots != 10 {
		t.Errorf("got %+v", (*events)[0])
	}
	if got := a.targetAddress().String(); got != "127.0.0.1:8080" {
		t.Errorf("got target address %s", got)
	}
}

func TestAnnouncementResponses(t *testing.T) {
	if code, _ := func() (int, string) {
		a, _ := newTestAPI(announcementResult{pending: true})
		return putAnnouncement(t, a, validAnnouncement)
	}(); code != http.StatusAccepted {
		t.Errorf("pending: got %d", code)
	}
	a, _ := newTestAPI(announcementResult{findings: []findings.Finding{
		{Place: findings.Place{Key: "slots"}, Message: "slots are -1, must be at least 1"},
	}})
	code, body := putAnnouncement(t, a, strings.Replace(validAnnouncement, `"slots":10`, `"slots":-1`, 1))
	if code != http.StatusUnprocessableEntity || !strings.Contains(body, `"key":"slots"`) {
		t.Errorf("refused: got %d %s", code, body)
	}
}

func TestMalformedAnnouncementsAreRefused(t *testing.T) {
	for name, body := range map[string]string{
		"empty":         "",
		"not JSON":      "slots=10",
		"unknown key":   `{"slotz":10}`,
		"wrong type":    `{"slots":"ten"}`,
		"wrong address": `{"address":"lease-desk"}`,
		"two documents": validAnnouncement + validAnnouncement,
		"too long":      `{"target":"` + strings.Repeat("x", maxAnnouncement) + `"}`,
	} {
		a, events := newTestAPI(announcementResult{})
		code, response := putAnnouncement(t, a, body)
		if code != http.StatusUnprocessableEntity || !strings.Contains(response, `"key":"body"`) {
			t.Errorf("%s: got %d %s", name, code, response)
		}
		if len(*events) != 0 {
			t.Errorf("%s: events were posted to the node: %+v", name, *events)
		}
	}
}

func TestTargetWithdrawal(t *testing.T) {
	a, events := newTestAPI(announcementResult{})
	w := httptest.NewRecorder()
	a.handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, announcePath, nil))
	if w.Code != http.StatusOK || len(*events) != 1 || (*events)[0] != core.Event(core.TargetWithdrawn{}) {
		t.Errorf("got %d, %+v", w.Code, *events)
	}
}
