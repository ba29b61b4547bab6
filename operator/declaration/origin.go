package declaration

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Origin records where an object and its keys were declared.
type Origin struct {
	// Object is the place of the object itself.
	Object findings.Place
	// Keys holds the place of each key that is set.
	Keys map[string]findings.Place
	// unreadable holds the keys whose value could not be read and has a finding
	// already.
	unreadable map[string]bool
}

// Give records that a key is set, and its place.
func (o *Origin) Give(key string, place findings.Place) {
	if o.Keys == nil {
		o.Keys = make(map[string]findings.Place)
	}
	o.Keys[key] = place
}

// MarkUnreadable records that the value of a key could not be read and has a
// finding already, so that Check skips it.
func (o *Origin) MarkUnreadable(key string) {
	if o.unreadable == nil {
		o.unreadable = make(map[string]bool)
	}
	o.unreadable[key] = true
}

// isSet reports whether the key has a value.
func (o *Origin) isSet(key string) bool {
	_, ok := o.Keys[key]
	return ok
}

// isReadable reports whether the key has a value that could be read.
func (o *Origin) isReadable(key string) bool {
	return o.isSet(key) && !o.unreadable[key]
}

// keyPlace returns the place of the key, or of the object if the key is not
// set. The place is labelled with the dotted path of the key.
func (o *Origin) keyPlace(path, key string) findings.Place {
	place, ok := o.Keys[key]
	if !ok {
		place = o.Object
	}
	place.Key = path + "." + key
	return place
}

// objectPath returns the dotted path of an object, with its name, or with its
// position counted from 1 if the name is empty.
func objectPath(table, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", table, index+1)
	}
	return table + "." + name
}
