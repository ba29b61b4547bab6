package capacity

import (
	"os"
	"runtime"
	"strings"
)

// Machine describes where the figures were taken.
type Machine struct {
	GoVersion, Platform string
	Processors          int
	Model               string
	// Load is the load of the last minute before the run, empty if not known.
	Load string
}

// ThisMachine describes the machine that runs the process.
func ThisMachine() Machine {
	return Machine{
		GoVersion: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH,
		Processors: runtime.NumCPU(), Model: processorModel(), Load: load(),
	}
}

// processorModel returns the processor's name on Linux, empty elsewhere.
func processorModel() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// load returns the load of the last minute on Linux, empty elsewhere.
func load() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	minute, _, _ := strings.Cut(string(data), " ")
	return minute
}
