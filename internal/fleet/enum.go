package fleet

import "github.com/pkg/errors"

// Named is an enumeration whose values start at 0 and have generated names.
type Named interface {
	~int
	String() string
}

// ParseName returns the value of an enumeration with count values that has the
// given name.
func ParseName[E Named](name string, count int) (E, error) {
	for i := range count {
		if e := E(i); e.String() == name {
			return e, nil
		}
	}
	return 0, errors.Errorf("unknown name %q", name)
}
