package fleet

import "github.com/pkg/errors"

// Enum is an integer enumeration whose values start at 0 and have a generated
// String method.
type Enum interface {
	~int
	String() string
}

// ParseEnum returns the value of E whose String method returns name. E has count
// values, from 0 to count-1.
func ParseEnum[E Enum](name string, count int) (E, error) {
	for i := range count {
		if e := E(i); e.String() == name {
			return e, nil
		}
	}
	return 0, errors.Errorf("unknown name %q", name)
}
