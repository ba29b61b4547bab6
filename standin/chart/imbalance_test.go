package chart

import (
	"bytes"
	"testing"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

func TestImbalanceIsLargestShareOverMean(t *testing.T) {
	answered := func(target string) workload.Request {
		return workload.Request{Service: "lease-desk", Target: target, Outcome: workload.RequestAnswered}
	}
	ledger := workload.CallerLedger{Requests: []workload.Request{
		answered("a"), answered("a"), answered("a"), answered("b"),
		{Service: "lease-desk", Target: "b", Outcome: workload.RequestRefused},
	}}
	var out bytes.Buffer
	PrintImbalance(&out, []workload.CallerLedger{ledger})
	if want := "lease-desk: targets=2 imbalance=1.50\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}
