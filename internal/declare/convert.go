package declare

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// ConvertFile converts a validated file to configuration objects in key order,
// without versions. It returns a *findings.Error if two services would have the
// same ID on the wire.
func ConvertFile(f *declaration.File) ([]model.Object, error) {
	if err := checkIDCollisions(f, model.ServiceName.ID); err != nil {
		return nil, err
	}
	var objects []model.Object
	for _, d := range f.Domains {
		objects = append(objects, domainObject(d))
	}
	for _, s := range f.Services {
		objects = append(objects, serviceObject(s))
	}
	slices.SortFunc(objects, func(a, b model.Object) int { return a.Key.Compare(b.Key) })
	return objects, nil
}

func domainObject(d declaration.Domain) model.Object {
	return model.Object{
		Key:    model.ObjectKey{Kind: model.KindDomain, Name: d.Name},
		Domain: &model.Domain{Name: model.DomainName(d.Name), Region: d.Region},
	}
}

func serviceObject(s declaration.Service) model.Object {
	domains := make([]model.DomainName, len(s.Domains))
	for i, name := range s.Domains {
		domains[i] = model.DomainName(name)
	}
	return model.Object{
		Key: model.ObjectKey{Kind: model.KindService, Name: s.Name},
		Service: &model.Service{
			Name:           model.ServiceName(s.Name),
			Mode:           model.Mode(s.Mode),
			Address:        s.Address,
			Domains:        domains,
			Targets:        slices.Clone(s.Targets),
			MaxSlots:       s.MaxSlots,
			MaxConnections: s.MaxConnections,
			IdleTimeout:    s.IdleTimeout,
			RequestTimeout: s.RequestTimeout,
		},
	}
}

// checkIDCollisions reports services whose names hash to the same ID.
func checkIDCollisions(f *declaration.File, hash func(model.ServiceName) model.ServiceID) error {
	var found findings.List
	names := make(map[model.ServiceID]string)
	for _, s := range f.Services {
		id := hash(model.ServiceName(s.Name))
		if first, ok := names[id]; ok {
			place := s.Origin.Keys[declaration.KeyName]
			found.Addf(place, "has the same identity on the wire as service %q; choose another name", first)
			continue
		}
		names[id] = s.Name
	}
	return found.Err()
}
