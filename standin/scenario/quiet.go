package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// arrivalCounts counts the requests and datagrams that have reached a target.
type arrivalCounts struct {
	runs, shed, failed, datagrams uint64
}

// cmdQuiet checks that no request or datagram reaches the targets during a
// duration.
func cmdQuiet(h *harness, _ *testscript.TestScript, args []string) error {
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	before := make(map[string]arrivalCounts)
	for _, name := range args[1:] {
		if before[name], err = h.readArrivals(name); err != nil {
			return err
		}
	}
	time.Sleep(duration)
	for _, name := range args[1:] {
		after, err := h.readArrivals(name)
		if err != nil {
			return err
		}
		if after != before[name] {
			return fmt.Errorf("%s received work: %+v, and %+v %v before", name, after, before[name], duration)
		}
	}
	return nil
}

// readArrivals reads a target's counters.
func (h *harness) readArrivals(name string) (arrivalCounts, error) {
	body, err := h.sendRequest(http.MethodGet, name, "/stats", "")
	if err != nil {
		return arrivalCounts{}, err
	}
	var stats workload.TargetStats
	if err := json.Unmarshal(body, &stats); err != nil {
		return arrivalCounts{}, fmt.Errorf("statistics of %s: %w", name, err)
	}
	return arrivalCounts{runs: stats.Runs, shed: stats.Shed, failed: stats.Failed, datagrams: stats.Datagrams}, nil
}
