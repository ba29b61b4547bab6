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

// announcing returns an announcer whose node answers with v, and its events.
func announcing(v verdict) (*announcer, *[]core.Event) {
	events := new([]core.Event)
	a := new(announcer)
	a.post = func(ev core.Event) {
		*events = append(*events, ev)
		if _, ok := ev.(core.TargetAnnounced); ok {
			a.answer(v)
		}
	}
	return a, events
}

func put(t *testing.T, a *announcer, body string) (int, string) {
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

const wholeAnnouncement = `{"target":"lease-desk-1","service":"lease-desk","address":"127.0.0.1:8080","slots":10,"connections":2000,"instance":"a","draining":false}`

func TestAnnouncementIsPassedToTheNode(t *testing.T) {
	a, events := announcing(verdict{})
	if code, body := put(t, a, wholeAnnouncement); code != http.StatusOK {
		t.Fatalf("got %d %s", code, body)
	}
	ev, ok := (*events)[0].(core.TargetAnnounced)
	if !ok || ev.Announcement.Target != "lease-desk-1" || ev.Announcement.Slots != 10 {
		t.Errorf("got %+v", (*events)[0])
	}
	if got := a.address().String(); got != "127.0.0.1:8080" {
		t.Errorf("the target's address is %s", got)
	}
}

func TestAnnouncementAnswers(t *testing.T) {
	if code, _ := func() (int, string) {
		a, _ := announcing(verdict{pending: true})
		return put(t, a, wholeAnnouncement)
	}(); code != http.StatusAccepted {
		t.Errorf("pending: got %d", code)
	}
	a, _ := announcing(verdict{findings: []findings.Finding{
		{Place: findings.Place{Key: "slots"}, Message: "slots are -1, must be at least 1"},
	}})
	code, body := put(t, a, strings.Replace(wholeAnnouncement, `"slots":10`, `"slots":-1`, 1))
	if code != http.StatusUnprocessableEntity || !strings.Contains(body, `"key":"slots"`) {
		t.Errorf("refused: got %d %s", code, body)
	}
}

func TestMalformedAnnouncementsChangeNothing(t *testing.T) {
	for name, body := range map[string]string{
		"empty":         "",
		"not JSON":      "slots=10",
		"unknown key":   `{"slotz":10}`,
		"wrong type":    `{"slots":"ten"}`,
		"wrong address": `{"address":"lease-desk"}`,
		"two documents": wholeAnnouncement + wholeAnnouncement,
		"too long":      `{"target":"` + strings.Repeat("x", maxAnnouncement) + `"}`,
	} {
		a, events := announcing(verdict{})
		code, answer := put(t, a, body)
		if code != http.StatusUnprocessableEntity || !strings.Contains(answer, `"key":"body"`) {
			t.Errorf("%s: got %d %s", name, code, answer)
		}
		if len(*events) != 0 {
			t.Errorf("%s: the node heard of it: %+v", name, *events)
		}
	}
}

func TestWithdrawal(t *testing.T) {
	a, events := announcing(verdict{})
	w := httptest.NewRecorder()
	a.handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, announcePath, nil))
	if w.Code != http.StatusOK || len(*events) != 1 || (*events)[0] != core.Event(core.TargetWithdrawn{}) {
		t.Errorf("got %d, %+v", w.Code, *events)
	}
}
