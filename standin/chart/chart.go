package chart

import (
	"fmt"
	"io"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// barWidth is the length of a bar that stands for all requests of the busiest
// second, in characters.
const barWidth = 60

// Merge adds the time series of several loads that started together.
func Merge(ledgers []workload.CallerLedger) []workload.Second {
	var out []workload.Second
	for i := range ledgers {
		for _, s := range ledgers[i].Series {
			for len(out) <= s.Second {
				out = append(out, workload.Second{Second: len(out)})
			}
			add(&out[s.Second], &s)
		}
	}
	return out
}

func add(to, s *workload.Second) {
	to.Sent += s.Sent
	to.InTime += s.InTime
	to.Late += s.Late
	to.Refused += s.Refused
	to.Unknown += s.Unknown
	to.Lost += s.Lost
}

// Print writes one line for each second: its counts and a bar in which every
// outcome has its own character.
func Print(w io.Writer, series []workload.Second) {
	busiest := 1
	for _, s := range series {
		busiest = max(busiest, s.Sent)
	}
	fmt.Fprintln(w, "# in time  ~ late  r refused  ? unknown  ! lost")
	fmt.Fprintf(w, "%6s %6s %6s %6s %6s %6s %6s\n", "second", "sent", "intime", "late", "refus", "unkn", "lost")
	for _, s := range series {
		fmt.Fprintf(w, "%6d %6d %6d %6d %6d %6d %6d %s\n",
			s.Second, s.Sent, s.InTime, s.Late, s.Refused, s.Unknown, s.Lost, bar(&s, busiest))
	}
}

// bar draws the outcomes of one second. An outcome that occurred has at least
// one character.
func bar(s *workload.Second, busiest int) string {
	parts := []struct {
		mark  string
		count int
	}{{"#", s.InTime}, {"~", s.Late}, {"r", s.Refused}, {"?", s.Unknown}, {"!", s.Lost}}
	var b strings.Builder
	for _, p := range parts {
		width := p.count * barWidth / busiest
		if p.count > 0 {
			width = max(width, 1)
		}
		b.WriteString(strings.Repeat(p.mark, width))
	}
	return b.String()
}

// Summary writes the share of requests answered in time, and the worst stall
// and the latencies of each load.
func Summary(w io.Writer, ledgers []workload.CallerLedger) {
	for i := range ledgers {
		l := &ledgers[i]
		var total workload.Second
		for _, s := range l.Series {
			add(&total, &s)
		}
		share := 0.0
		if total.Sent > 0 {
			share = float64(total.InTime) / float64(total.Sent)
		}
		fmt.Fprintf(w, "%s: sent=%d in_time=%.4f worst_stall=%v p50=%v p99=%v max=%v broken_flows=%d\n",
			l.Caller, total.Sent, share, l.WorstStall.Round(time.Millisecond),
			l.Latency.P50.Round(time.Microsecond), l.Latency.P99.Round(time.Microsecond),
			l.Latency.Max.Round(time.Microsecond), l.Counts.BrokenFlows)
	}
}
