package settings

import (
	"fmt"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Key describes one setting.
type Key struct {
	// Name is the dotted path in the file.
	Name string
	// Type is the TOML type and form of the value.
	Type string
	// Unit lists the units that the value may carry, if any.
	Unit string
	// Default is the value of an absent key, as TOML; empty if required.
	Default string
	// Range is what the value may be.
	Range string
	// Description says what the setting does and what it trades off.
	Description string
	// Required reports that the file must have the key.
	Required bool
	// Role is the daemon that reads the key.
	Role model.Role
}

// Reference returns every key of the balancer's settings, then every key of
// the agent's, in the order of the documentation.
func Reference() []Key {
	keys := keysOf(model.RoleBalancer, balancerSchema(new(Balancer)))
	return append(keys, keysOf(model.RoleAgent, agentSchema(new(Agent)))...)
}

func keysOf(role model.Role, s schema) []Key {
	var keys []Key
	for _, f := range s.fields {
		f.Role = role
		keys = append(keys, f.Key)
	}
	return keys
}

// Markdown returns the role's keys as a Markdown table.
func Markdown(role model.Role) string {
	var b strings.Builder
	b.WriteString("| Key | Type | Unit | Default | Range | Description |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range Reference() {
		if k.Role != role {
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
