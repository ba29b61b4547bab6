package operator

import "amaranthwheel.example/amaranthwheel/operator/declaration"

// Region is a group of failure domains that are close to each other.
type Region struct {
	configuration *Configuration
	name          string
}

// Region returns the region with the given name.
func (c *Configuration) Region(name string) *Region {
	return &Region{configuration: c, name: name}
}

// Domain is a declared failure domain, which services refer to.
type Domain struct {
	configuration *Configuration
	declared      declaration.Domain
}

// Domain declares a failure domain in the region.
func (r *Region) Domain(name string) *Domain {
	place := callSite(1)
	d := &Domain{configuration: r.configuration}
	d.declared.Name = name
	d.declared.Region = r.name
	d.declared.Origin.Object = place
	d.declared.Origin.Give(declaration.KeyName, place)
	d.declared.Origin.Give(declaration.KeyRegion, place)
	r.configuration.domains = append(r.configuration.domains, d)
	return d
}

// Comment sets the comment that is printed above the failure domain.
func (d *Domain) Comment(text string) *Domain {
	d.declared.Comment = text
	return d
}
