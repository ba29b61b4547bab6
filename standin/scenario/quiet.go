package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// arrivals counts what has reached a target.
type arrivals struct {
	runs, shed, failed, datagrams uint64
}

// cmdQuiet checks that nothing reaches targets for a time.
func cmdQuiet(b *bench, _ *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return fmt.Errorf("time: %w", err)
	}
	before := make(map[string]arrivals)
	for _, name := range args[1:] {
		if before[name], err = b.arrivals(name); err != nil {
			return err
		}
	}
	time.Sleep(limit)
	for _, name := range args[1:] {
		now, err := b.arrivals(name)
		if err != nil {
			return err
		}
		if now != before[name] {
			return fmt.Errorf("%s got work: %+v, and %+v %v before", name, now, before[name], limit)
		}
	}
	return nil
}

// arrivals reads a target's counters.
func (b *bench) arrivals(name string) (arrivals, error) {
	answer, err := b.request(http.MethodGet, name, "/stats", "")
	if err != nil {
		return arrivals{}, err
	}
	var stats workload.TargetStats
	if err := json.Unmarshal(answer, &stats); err != nil {
		return arrivals{}, fmt.Errorf("statistics of %s: %w", name, err)
	}
	return arrivals{runs: stats.Runs, shed: stats.Shed, failed: stats.Failed, datagrams: stats.Datagrams}, nil
}
