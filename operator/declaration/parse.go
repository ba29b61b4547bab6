package declaration

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Parse reads a declared file. The name is used in findings only. It returns
// a *findings.Error with everything that is wrong, and no file, if anything
// is.
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
	file := decode(doc, &found)
	if len(doc.tables) == 0 && found.Err() != nil {
		return nil, found.Err()
	}
	found.Append(Check(file))
	if err := found.Err(); err != nil {
		return nil, err
	}
	return file, nil
}

// decode converts the tables into typed objects and applies the defaults.
func decode(doc document, found *findings.List) *File {
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

// setter stores a value in an object of type T.
type setter[T any] func(object *T, v value) error

var domainSetters = map[string]setter[Domain]{
	KeyName:   set(readString, func(d *Domain) *string { return &d.Name }),
	KeyRegion: set(readString, func(d *Domain) *string { return &d.Region }),
}

var serviceSetters = map[string]setter[Service]{
	KeyName:           set(readString, func(s *Service) *string { return &s.Name }),
	KeyMode:           set(readString, func(s *Service) *string { return (*string)(&s.Mode) }),
	KeyAddress:        set(readAddress, func(s *Service) *netip.AddrPort { return &s.Address }),
	KeyDomains:        set(readStrings, func(s *Service) *[]string { return &s.Domains }),
	KeyTargets:        set(readStrings, func(s *Service) *[]string { return &s.Targets }),
	KeyMaxSlots:       set(readInteger, func(s *Service) *int { return &s.MaxSlots }),
	KeyMaxConnections: set(readInteger, func(s *Service) *int { return &s.MaxConnections }),
	KeyIdleTimeout:    set(readDuration, func(s *Service) *time.Duration { return &s.IdleTimeout }),
	KeyRequestTimeout: set(readDuration, func(s *Service) *time.Duration { return &s.RequestTimeout }),
}

// set returns a setter that reads a value into the field.
func set[T, V any](read func(value) (V, error), field func(*T) *V) setter[T] {
	return func(object *T, v value) error {
		got, err := read(v)
		if err != nil {
			return err
		}
		*field(object) = got
		return nil
	}
}

// decodeTable stores the entries of one table, and reports unknown keys and
// values of the wrong type.
func decodeTable[T any](file string, t table, index int, object *T, origin *Origin, setters map[string]setter[T], found *findings.List) {
	origin.Object = findings.Place{File: file, Line: t.line}
	path := objectPath(t.name, tableName(t), index)
	origin.Object.Key = path
	for _, e := range t.entries {
		place := findings.Place{File: file, Line: e.line, Key: path + "." + e.key}
		setter, ok := setters[e.key]
		if !ok {
			found.Addf(place, "unknown key")
			continue
		}
		origin.Give(e.key, place)
		if err := setter(object, e.value); err != nil {
			found.Addf(place, "%s", err)
			origin.MarkUnreadable(e.key)
		}
	}
}

// tableName returns the name that a table gives its object, if it is readable.
func tableName(t table) string {
	for _, e := range t.entries {
		if e.key != KeyName {
			continue
		}
		name, err := readString(e.value)
		if err != nil || checkName(name) != "" {
			return ""
		}
		return name
	}
	return ""
}
