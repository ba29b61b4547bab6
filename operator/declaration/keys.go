package declaration

import (
	"fmt"
	"strconv"
	"time"
)

// Names of the tables of a file.
const (
	TableDomain  = "domain"
	TableService = "service"
)

// Names of the keys of the tables.
const (
	KeyName           = "name"
	KeyRegion         = "region"
	KeyMode           = "mode"
	KeyAddress        = "address"
	KeyDomains        = "domains"
	KeyTargets        = "targets"
	KeyMaxSlots       = "max_slots"
	KeyMaxConnections = "max_connections"
	KeyIdleTimeout    = "idle_timeout"
	KeyRequestTimeout = "request_timeout"
)

// Defaults of the optional keys.
const (
	DefaultIdleTimeout    = 30 * time.Second
	DefaultRequestTimeout = 10 * time.Second
)

// Limits of a file and its values; all are inclusive.
const (
	MaxFileBytes    = 4 << 20
	MaxNameBytes    = 63
	MaxPatternBytes = 128
	MaxPatterns     = 64

	MinSlots          = 1
	MaxSlotsLimit     = 10_000
	MinConnections    = 1
	MaxConnLimit      = 1_000_000
	MinIdleTimeout    = time.Second
	MaxIdleTimeout    = 24 * time.Hour
	MinRequestTimeout = 10 * time.Millisecond
	MaxRequestTimeout = time.Hour
)

// KeyInfo describes one key of the file.
type KeyInfo struct {
	Table string
	Key   string
	// Type is the TOML type, with the unit if the value has one.
	Type string
	// Default is the value of an absent key, empty if the key is required.
	Default string
	// Range describes the accepted values.
	Range string
}

// Required reports whether the key must be set.
func (k KeyInfo) Required() bool { return k.Default == "" }

// String returns the dotted key.
func (k KeyInfo) String() string { return k.Table + "." + k.Key }

// Keys lists every key of the file, in the order in which Print writes them.
func Keys() []KeyInfo {
	nameRange := fmt.Sprintf("1 to %d letters, digits, dots, hyphens and underscores; unique", MaxNameBytes)
	regionRange := fmt.Sprintf("1 to %d letters, digits, dots, hyphens and underscores", MaxNameBytes)
	patternRange := fmt.Sprintf("1 to %d patterns of 1 to %d bytes", MaxPatterns, MaxPatternBytes)
	return []KeyInfo{
		{TableDomain, KeyName, "string", "", nameRange},
		{TableDomain, KeyRegion, "string", "", regionRange},
		{TableService, KeyName, "string", "", nameRange},
		{TableService, KeyMode, "string", "", `"request" or "flow"`},
		{TableService, KeyAddress, "string, IP:port", "", "unicast IP, port 1 to 65535, unique port"},
		{TableService, KeyDomains, "array of strings", "", "1 or more declared failure domains"},
		{TableService, KeyTargets, "array of strings", "", patternRange},
		{TableService, KeyMaxSlots, "integer, requests", "", integerRange(MinSlots, MaxSlotsLimit)},
		{TableService, KeyMaxConnections, "integer, flows", "", integerRange(MinConnections, MaxConnLimit)},
		{TableService, KeyIdleTimeout, "string, duration", FormatDuration(DefaultIdleTimeout), durationRange(MinIdleTimeout, MaxIdleTimeout)},
		{TableService, KeyRequestTimeout, "string, duration", FormatDuration(DefaultRequestTimeout), durationRange(MinRequestTimeout, MaxRequestTimeout)},
	}
}

func integerRange(low, high int) string {
	return strconv.Itoa(low) + " to " + strconv.Itoa(high)
}

func durationRange(low, high time.Duration) string {
	return FormatDuration(low) + " to " + FormatDuration(high)
}
