package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// storeName is the process name of the store stand-in.
const storeName = "store"

// storeFaults is the fault configuration of the store stand-in.
type storeFaults struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slow_ms"`
	LoseAnswers int  `json:"lose_answers"`
}

// storeCommands returns the command that controls the store stand-in.
func storeCommands() map[string]command {
	return map[string]command{
		"store": {"down|up|slow MILLISECONDS|lose-answers COUNT|lapse|drop-watches", 1, cmdStore},
	}
}

// cmdStore enables or disables a fault of the store.
func cmdStore(h *harness, _ *testscript.TestScript, args []string) error {
	switch args[0] {
	case "lapse", "drop-watches":
		return h.post(storeName, "/"+args[0])
	}
	h.mu.Lock()
	faults := h.faults
	h.mu.Unlock()
	faults.LoseAnswers = 0 // the store counts down by itself
	if err := faults.apply(args); err != nil {
		return err
	}
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	if _, err := h.sendRequest(http.MethodPost, storeName, "/faults", string(body)); err != nil {
		return err
	}
	h.mu.Lock()
	h.faults = faults
	h.mu.Unlock()
	return nil
}

// apply updates the fault that the arguments name.
func (f *storeFaults) apply(args []string) error {
	switch args[0] {
	case "down":
		f.Down = true
		return nil
	case "up":
		*f = storeFaults{}
		return nil
	case "slow", "lose-answers":
	default:
		return fmt.Errorf("unknown fault %q", args[0])
	}
	if len(args) < 2 {
		return fmt.Errorf("%s needs a number", args[0])
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	if args[0] == "slow" {
		f.SlowMS = n
	} else {
		f.LoseAnswers = n
	}
	return nil
}
