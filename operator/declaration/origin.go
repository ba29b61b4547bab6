package declaration

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Origin tells where an object and its keys were declared.
type Origin struct {
	// Object is the place of the whole object.
	Object findings.Place
	// Keys holds the place of each key that was given.
	Keys map[string]findings.Place
	// unreadable holds the keys whose value has been reported already.
	unreadable map[string]bool
}

// Give records the place of a key.
func (o *Origin) Give(key string, place findings.Place) {
	if o.Keys == nil {
		o.Keys = make(map[string]findings.Place)
	}
	o.Keys[key] = place
}

// MarkUnreadable records that a finding about the key has been reported, so
// that Check does not report it again.
func (o *Origin) MarkUnreadable(key string) {
	if o.unreadable == nil {
		o.unreadable = make(map[string]bool)
	}
	o.unreadable[key] = true
}

// given reports whether the key has a value.
func (o *Origin) given(key string) bool {
	_, ok := o.Keys[key]
	return ok
}

// checkable reports whether the key has a value that could be read.
func (o *Origin) checkable(key string) bool {
	return o.given(key) && !o.unreadable[key]
}

// place returns where the key was given, or else where the object is.
func (o *Origin) place(path, key string) findings.Place {
	place, ok := o.Keys[key]
	if !ok {
		place = o.Object
	}
	place.Key = path + "." + key
	return place
}

// objectPath returns the dotted path of an object: by its name, or by its
// position from 1 while it has none.
func objectPath(table, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", table, index+1)
	}
	return table + "." + name
}
