package declaration

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Parse reads and validates a declaration file. The name is used in findings
// only. If there are findings, it returns no file but a *findings.Error with
// all of them.
func Parse(name string, data []byte) (*File, error) {
	var found findings.List
	if len(data) > MaxFileBytes {
		found.Addf(findings.Place{File: name}, "has %d bytes; the limit is %d", len(data), MaxFileBytes)
		return nil, found.Err()
	}
	doc, ok := readDocument(name, data, &found)
	if !ok {
		return nil, found.Err()
	}
	file := decodeDocument(doc, &found)
	if len(doc.tables) == 0 && found.Err() != nil {
		return nil, found.Err()
	}
	found.Append(Check(file))
	if err := found.Err(); err != nil {
		return nil, err
	}
	return file, nil
}

// decodeDocument converts the tables into typed objects and applies the
// defaults.
func decodeDocument(doc document, found *findings.List) *File {
	file := &File{Origin: findings.Place{File: doc.file, Line: 1}}
	for _, t := range doc.tables {
		switch t.name {
		case TableDomain:
			var d Domain
			decodeTable(doc.file, t, len(file.Domains), &d, &d.Origin, domainSetters, found)
			file.Domains = append(file.Domains, d)
		case TableService:
			s := Service{IdleTimeout: DefaultIdleTimeout, RequestTimeout: DefaultRequestTimeout}
			decodeTable(doc.file, t, len(file.Services), &s, &s.Origin, serviceSetters, found)
			file.Services = append(file.Services, s)
		}
	}
	return file
}

// setter converts a value and stores it in a field of an object of type T.
type setter[T any] func(object *T, v value) error

var domainSetters = map[string]setter[Domain]{
	KeyName:   newSetter(decodeString, func(d *Domain) *string { return &d.Name }),
	KeyRegion: newSetter(decodeString, func(d *Domain) *string { return &d.Region }),
}

var serviceSetters = map[string]setter[Service]{
	KeyName:           newSetter(decodeString, func(s *Service) *string { return &s.Name }),
	KeyMode:           newSetter(decodeString, func(s *Service) *string { return (*string)(&s.Mode) }),
	KeyAddress:        newSetter(decodeAddress, func(s *Service) *netip.AddrPort { return &s.Address }),
	KeyDomains:        newSetter(decodeStrings, func(s *Service) *[]string { return &s.Domains }),
	KeyTargets:        newSetter(decodeStrings, func(s *Service) *[]string { return &s.Targets }),
	KeyMaxSlots:       newSetter(decodeInteger, func(s *Service) *int { return &s.MaxSlots }),
	KeyMaxConnections: newSetter(decodeInteger, func(s *Service) *int { return &s.MaxConnections }),
	KeyIdleTimeout:    newSetter(decodeDuration, func(s *Service) *time.Duration { return &s.IdleTimeout }),
	KeyRequestTimeout: newSetter(decodeDuration, func(s *Service) *time.Duration { return &s.RequestTimeout }),
}

// newSetter returns a setter that converts values with decode and stores them
// in the field.
func newSetter[T, V any](decode func(value) (V, error), field func(*T) *V) setter[T] {
	return func(object *T, v value) error {
		decoded, err := decode(v)
		if err != nil {
			return err
		}
		*field(object) = decoded
		return nil
	}
}

// decodeTable stores the entries of one table in the object. It adds findings
// for unknown keys and for values that can't be converted.
func decodeTable[T any](file string, t table, index int, object *T, origin *Origin, setters map[string]setter[T], found *findings.List) {
	origin.Object = findings.Place{File: file, Line: t.line}
	path := objectPath(t.name, declaredName(t), index)
	origin.Object.Key = path
	for _, e := range t.entries {
		place := findings.Place{File: file, Line: e.line, Key: path + "." + e.key}
		setValue, ok := setters[e.key]
		if !ok {
			found.Addf(place, "unknown key")
			continue
		}
		origin.Give(e.key, place)
		if err := setValue(object, e.value); err != nil {
			found.Addf(place, "%s", err)
			origin.MarkUnreadable(e.key)
		}
	}
}

// declaredName returns the object name that a table sets, or "" if it is
// missing or invalid.
func declaredName(t table) string {
	for _, e := range t.entries {
		if e.key != KeyName {
			continue
		}
		name, err := decodeString(e.value)
		if err != nil || nameProblem(name) != "" {
			return ""
		}
		return name
	}
	return ""
}
