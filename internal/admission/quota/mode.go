package quota

import "github.com/pkg/errors"

//go:generate ../../../bin/stringer -type=Mode -linecomment -output=names_string.go

// Mode says which services are under admission control.
type Mode int

// The modes.
const (
	Auto   Mode = iota // auto
	Always             // always
	Never              // never
)

// ParseMode returns the Mode with a name.
func ParseMode(name string) (Mode, error) {
	for _, m := range []Mode{Auto, Always, Never} {
		if m.String() == name {
			return m, nil
		}
	}
	return Auto, errors.Errorf("%q is not auto, always or never", name)
}

// Applies reports whether a service with engines is under admission control.
// differentiated tells whether its streaming routes differ in urgency.
func (m Mode) Applies(differentiated bool) bool {
	return m == Always || m == Auto && differentiated
}
