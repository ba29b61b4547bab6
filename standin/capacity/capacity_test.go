package capacity

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

const pagePath = "../../docs/CAPACITY.md"

// TestPageHasEveryRow checks the committed page against the template, not its
// figures, which vary between runs.
func TestPageHasEveryRow(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	checkRows(t, string(page))
}

// TestTemplateRendersEveryRow fails if the template names a row without a
// figure. The slopes are empty, so no figure means anything.
func TestTemplateRendersEveryRow(t *testing.T) {
	var page bytes.Buffer
	if err := Render(&page, NewEstimate(Slopes{}), Machine{}); err != nil {
		t.Fatal(err)
	}
	checkRows(t, page.String())
}

// TestTemplateShowsEveryFigure fails if a figure has no row.
func TestTemplateShowsEveryFigure(t *testing.T) {
	titles, err := rowTitles()
	if err != nil {
		t.Fatal(err)
	}
	shown := make(map[string]bool)
	for _, row := range titles {
		shown[row.key] = true
	}
	for key := range NewEstimate(Slopes{}).Cells() {
		if !shown[key] {
			t.Errorf("figure %q has no row", key)
		}
	}
}

func checkRows(t *testing.T, page string) {
	t.Helper()
	titles, err := rowTitles()
	if err != nil {
		t.Fatal(err)
	}
	const columns = 5
	for _, row := range titles {
		line, ok := lineOf(page, "| "+row.title+" | ")
		if !ok {
			t.Errorf("the page has no row %q", row.title)
			continue
		}
		if got := strings.Count(line, " |"); got != columns {
			t.Errorf("row %q has %d columns, want %d", row.title, got, columns)
		}
	}
}

func lineOf(page, prefix string) (string, bool) {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, prefix) {
			return line, true
		}
	}
	return "", false
}

func TestSlope(t *testing.T) {
	s := Slope{Points: []Point{{10, Sample{Median: 100}}, {110, Sample{Median: 300}}}}
	if got := s.PerUnit(); got != 2 {
		t.Errorf("PerUnit() = %v, want 2", got)
	}
	if got := s.At(60); got != 200 {
		t.Errorf("At(60) = %v, want 200", got)
	}
	if got := s.At(110); got != 300 {
		t.Errorf("At(110) = %v, want 300", got)
	}
}

// TestFrames runs the measurement of control messages on a small plan.
func TestFrames(t *testing.T) {
	p := Letter1()
	p.Balancers, p.Targets, p.Services = 4, 20, 5
	f, err := measureFrames(p)
	if err != nil {
		t.Fatal(err)
	}
	if f.Heartbeat.Message <= 0 || f.Heartbeat.Stream <= f.Heartbeat.Message {
		t.Errorf("a heartbeat takes %v bytes, %v with framing", f.Heartbeat.Message, f.Heartbeat.Stream)
	}
	if f.BalancerMap <= f.AgentMap {
		t.Errorf("a balancer's map takes %v bytes, an agent's %v", f.BalancerMap, f.AgentMap)
	}
}

// TestStoreCalls runs the measurement of store calls on a small plan. The
// numbers are those that package configstore documents.
func TestStoreCalls(t *testing.T) {
	p := Letter1()
	p.Services = measuredChanges
	c, err := measureStore(p)
	if err != nil {
		t.Fatal(err)
	}
	if c.CallsPerChange != 3 || c.CallsPerReader != 1 || c.CallsPerWatch != 2 {
		t.Errorf("calls: %v a change, %v a reader, %v a watch", c.CallsPerChange, c.CallsPerReader, c.CallsPerWatch)
	}
}
