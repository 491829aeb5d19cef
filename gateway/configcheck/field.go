package configcheck

import (
	"fmt"
	"reflect"
)

// field is a field of an entry with its shown value.
type field struct {
	name  string
	value string
}

// newField returns a field. The zero value is shown as "none", so fields whose zero value has a meaning of its own, such as
// the priority, are built without newField.
func newField(name string, value any) field {
	if reflect.ValueOf(value).IsZero() {
		return field{name, none}
	}
	return field{name, fmt.Sprint(value)}
}
