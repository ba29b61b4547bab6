package declare

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Validate checks the consistency of a configuration: services name declared
// failure domains, and no two services share a port or an ID on the wire. The ID
// of a removed service stays in use. It returns a *findings.Error whose places
// have only keys.
func Validate(c *model.Config) error {
	var found findings.List
	checkDomains(c, &found)
	checkPorts(c, &found)
	checkServiceIDs(c, model.ServiceName.ID, &found)
	return found.Err()
}

// checkDomains reports services that name an undeclared failure domain, for
// example one that was removed.
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

// checkServiceIDs reports services whose names hash to the same ID.
func checkServiceIDs(c *model.Config, hash func(model.ServiceName) model.ServiceID, found *findings.List) {
	names := make(map[model.ServiceID]model.ServiceName)
	for _, name := range serviceNames(c) {
		id := hash(name)
		if first, ok := names[id]; ok {
			found.Addf(servicePlace(name, declaration.KeyName),
				"has the same identity on the wire as service %q; choose another name", first)
			continue
		}
		names[id] = name
	}
}

// serviceNames returns the names of all services in order, including removed
// ones.
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
