package order

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type State -linecomment -output state_string.go

// MarshalText returns the name of the value.
func (v State) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *State) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseName[State](string(text), int(Done)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
