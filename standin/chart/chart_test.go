package chart

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

func TestChart(t *testing.T) {
	ledgers := []workload.CallerLedger{
		{
			Caller: "engineers", WorstStall: 1200 * time.Millisecond,
			Latency: workload.Latency{P50: 7 * time.Millisecond, P99: 19 * time.Millisecond, Max: time.Second},
			Series:  []workload.Second{{Sent: 60, InTime: 60}, {Second: 1, Sent: 60, InTime: 20, Late: 30, Refused: 10}},
		},
		{
			Caller: "inspectors", Counts: workload.Counts{BrokenFlows: 2},
			Series: []workload.Second{{Second: 2, Sent: 10, InTime: 7, Unknown: 2, Lost: 1}},
		},
	}
	var out bytes.Buffer
	Print(&out, Merge(ledgers))
	Summary(&out, ledgers)
	goldie.New(t).Assert(t, "chart", out.Bytes())
}
