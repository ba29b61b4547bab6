package settings

import (
	"fmt"
	"strings"
)

// Key describes one setting.
type Key struct {
	// Name is the dotted path of the key in the file.
	Name string
	// Type is the TOML type and format of the value.
	Type string
	// Unit lists the units that the value may have, if any.
	Unit string
	// Default is the value of an absent key, as TOML; empty if the key is
	// required.
	Default string
	// Range describes the values allowed.
	Range string
	// Description says what the setting does and which trade-off it makes.
	Description string
	// Required reports that the file must contain the key.
	Required bool
	// Daemon is the daemon that reads the key.
	Daemon Daemon
}

// Daemon is the name of a daemon, as in its subcommand.
type Daemon string

// The daemons.
const (
	DaemonBalancer       Daemon = "balancer"
	DaemonAgent          Daemon = "agent"
	DaemonDirectBalancer Daemon = "direct balancer"
	DaemonDirectAgent    Daemon = "direct agent"
)

// Daemons returns all daemons in the order of the reference.
func Daemons() []Daemon {
	return []Daemon{DaemonBalancer, DaemonAgent, DaemonDirectBalancer, DaemonDirectAgent}
}

// Reference returns all keys of all daemons' settings, in the order of the
// documentation.
func Reference() []Key {
	schemas := map[Daemon]schema{
		DaemonBalancer:       balancerSchema(new(Balancer)),
		DaemonAgent:          agentSchema(new(Agent)),
		DaemonDirectBalancer: directBalancerSchema(new(DirectBalancer)),
		DaemonDirectAgent:    directAgentSchema(new(DirectAgent)),
	}
	var keys []Key
	for _, d := range Daemons() {
		for _, f := range schemas[d].fields {
			f.Daemon = d
			keys = append(keys, f.Key)
		}
	}
	return keys
}

// Markdown returns the daemon's keys as a Markdown table.
func Markdown(daemon Daemon) string {
	var b strings.Builder
	b.WriteString("| Key | Type | Unit | Default | Range | Description |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range Reference() {
		if k.Daemon != daemon {
			continue
		}
		def := "required"
		if !k.Required {
			def = "`" + k.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Type, k.Unit, def, k.Range, k.Description)
	}
	return b.String()
}
