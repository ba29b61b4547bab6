package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// storeName is the name under which scripts start the store stand-in.
const storeName = "store"

// storeFaults are the switches of the store stand-in.
type storeFaults struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slow_ms"`
	LoseAnswers int  `json:"lose_answers"`
}

// storeCommands returns the command over the store stand-in.
func storeCommands() map[string]command {
	return map[string]command{
		"store": {"down|up|slow MILLISECONDS|lose-answers COUNT|lapse|drop-watches", 1, cmdStore},
	}
}

// cmdStore turns a fault of the store on or off.
func cmdStore(b *bench, _ *testscript.TestScript, args []string) error {
	switch args[0] {
	case "lapse", "drop-watches":
		return b.post(storeName, "/"+args[0])
	}
	b.mu.Lock()
	faults := b.faults
	b.mu.Unlock()
	faults.LoseAnswers = 0 // the store counts it down itself
	if err := faults.set(args); err != nil {
		return err
	}
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	if _, err := b.request(http.MethodPost, storeName, "/faults", string(body)); err != nil {
		return err
	}
	b.mu.Lock()
	b.faults = faults
	b.mu.Unlock()
	return nil
}

// set changes the switch that the arguments name.
func (f *storeFaults) set(args []string) error {
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
