package declare

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Validate checks that a whole configuration holds together: services name
// declared failure domains, and no two services share a port or an identity
// on the wire. Removed services keep their identity. It returns a
// *findings.Error whose places have keys only.
func Validate(c *model.Config) error {
	var found findings.List
	checkDomains(c, &found)
	checkPorts(c, &found)
	checkIdentities(c, model.ServiceName.ID, &found)
	return found.Err()
}

// checkDomains reports services that name a failure domain which is not
// declared, as after its removal.
func checkDomains(c *model.Config, found *findings.List) {
	for _, s := range c.Services() {
		for _, name := range s.Domains {
			key := model.ObjectKey{Kind: model.KindDomain, Name: string(name)}
			if c.Objects[key].Domain == nil {
				found.Addf(servicePlace(s.Name, declaration.KeyDomains),
					"failure domain %q is not declared, but the service names it", name)
			}
		}
	}
}

// checkPorts reports services that share a port.
func checkPorts(c *model.Config, found *findings.List) {
	ports := make(map[uint16]model.ServiceName)
	for _, s := range c.Services() {
		port := s.Address.Port()
		if first, ok := ports[port]; ok {
			found.Addf(servicePlace(s.Name, declaration.KeyAddress), "port %d belongs to service %q", port, first)
			continue
		}
		ports[port] = s.Name
	}
}

// checkIdentities reports services whose names have the same hash.
func checkIdentities(c *model.Config, id func(model.ServiceName) model.ServiceID, found *findings.List) {
	names := make(map[model.ServiceID]model.ServiceName)
	for _, name := range serviceNames(c) {
		hash := id(name)
		if first, ok := names[hash]; ok {
			found.Addf(servicePlace(name, declaration.KeyName),
				"has the same identity on the wire as service %q; choose another name", first)
			continue
		}
		names[hash] = name
	}
}

// serviceNames returns the names of all services in order, removed ones
// included.
func serviceNames(c *model.Config) []model.ServiceName {
	var names []model.ServiceName
	for key := range c.Objects {
		if key.Kind == model.KindService {
			names = append(names, model.ServiceName(key.Name))
		}
	}
	slices.Sort(names)
	return names
}

func servicePlace(name model.ServiceName, key string) findings.Place {
	return findings.Place{Key: declaration.TableService + "." + string(name) + "." + key}
}
