package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page is what the template shows.
type Page struct {
	Machine  Machine
	Estimate Estimate
	Slopes   []SlopeRow
	Messages []MessageRow
	Timings  []TimingRow
	// Exceeding and Open are the rows, by title, that exceed their budget and
	// that nothing has measured.
	Exceeding, Open []Titled
}

// Titled is a row with its title.
type Titled struct {
	Title string
	Cell
}

// SlopeRow is one slope of memory.
type SlopeRow struct {
	Title, Unit string
	Slope       Slope
}

// MessageRow is one control message.
type MessageRow struct {
	Title string
	Frame Frame
}

// TimingRow is one measured operation.
type TimingRow struct {
	Title  string
	Sample Sample
}

// Render writes the page. It returns an error if the template names a row that
// the estimate does not have.
func Render(w io.Writer, e Estimate, machine Machine) error {
	cells := e.Cells()
	page := Page{
		Machine: machine, Estimate: e,
		Slopes: slopeRows(e.Slopes.Memory), Messages: messageRows(e.Slopes.Frames), Timings: timingRows(e.Slopes.Timing),
	}
	titles, err := rowTitles()
	if err != nil {
		return err
	}
	for _, t := range titles {
		c, ok := cells[t.key]
		if !ok {
			return fmt.Errorf("row %q has no figure for %q", t.title, t.key)
		}
		switch {
		case c.Source == NotMeasured:
			page.Open = append(page.Open, Titled{t.title, c})
		case c.Exceeds:
			page.Exceeding = append(page.Exceeding, Titled{t.title, c})
		}
	}
	tmpl, err := parseTemplate(func(key string) (Cell, error) { return cells[key], nil })
	if err != nil {
		return err
	}
	return tmpl.Execute(w, page)
}

func parseTemplate(cell func(string) (Cell, error)) (*template.Template, error) {
	return template.New("capacity").Funcs(template.FuncMap{
		"cell": cell, "millions": func(v float64) float64 { return v / 1e6 }, "bytes": formatBytes, "seconds": formatSeconds,
		"spreadBytes":   func(s Sample) string { return spread(s, formatBytes) },
		"spreadSeconds": func(s Sample) string { return spread(s, formatSeconds) },
	}).Parse(pageTemplate)
}

// rowTitle is a row that the template names.
type rowTitle struct{ title, key string }

// rowTitles returns the rows of the template in their order.
func rowTitles() ([]rowTitle, error) {
	const call = `{{cell "`
	var out []rowTitle
	for line := range strings.Lines(pageTemplate) {
		title, rest, ok := strings.Cut(line, call)
		if !ok {
			continue
		}
		key, _, ok := strings.Cut(rest, `"}}`)
		title = strings.Trim(title, "| ")
		if !ok || title == "" {
			return nil, fmt.Errorf("template row %q has no title or key", line)
		}
		if slices.ContainsFunc(out, func(t rowTitle) bool { return t.title == title }) {
			return nil, fmt.Errorf("template names the row %q twice", title)
		}
		out = append(out, rowTitle{title, key})
	}
	return out, nil
}

func slopeRows(m Memory) []SlopeRow {
	return []SlopeRow{
		{"Balancer: records, configuration and views", "target", m.BalancerTargets},
		{"Balancer: after routing flows", "flow", m.BalancerFlows},
		{"Balancer: sockets for callers", "service", m.BalancerSockets},
		{"Agent: held flows", "flow", m.AgentHeld},
		{"Agent: flows whose home it is", "flow", m.AgentEntries},
		{"One end of a control session", "session", m.Sessions},
		{"Agent: its end of an idle QUIC connection", "connection", m.Connections},
		{"Agent: an opaque flow's socket", "flow", m.Relayed},
	}
}

func messageRows(f Frames) []MessageRow {
	return []MessageRow{
		{"Heartbeat", f.Heartbeat},
		{"Acknowledgement", f.Ack},
		{"Digest", f.Digest},
		{"Delta of one member record", f.Member},
		{"Delta of one service", f.Object},
	}
}

func timingRows(t Timing) []TimingRow {
	return []TimingRow{
		{"Balancer, baseline: the flow's hash and a header", t.HashOnly},
		{"Balancer, baseline: a lookup among 100,000 flows and a header", t.TableLookup},
		{"Balancer: the home of a datagram and its header", t.Route},
		{"Balancer: views after one record changed", t.MemberChange},
		{"Balancer: views after one object changed", t.ConfigChange},
		{"Balancer: all views", t.FullMap},
		{"Balancer: one record changed, all controllers and a tick", t.WholeChange},
		{"Balancer: the packet path takes new views", t.SetViews},
		{"Agent: a new flow at its home", t.NewFlowHome},
		{"Agent: a new flow where it is admitted", t.NewFlowHolder},
		{"Agent: a datagram at the home", t.DatagramHome},
		{"Agent: a datagram at the holder", t.DatagramHolder},
		{"Agent: one registered flow of a batch of 24", t.Registration},
		{"Agent: a tick with its mean of held flows", t.Tick},
	}
}
