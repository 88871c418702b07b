package order

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type State -linecomment -output state_string.go

// MarshalText implements encoding.TextMarshaler with the name of the state.
func (v State) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the name of a
// state.
func (v *State) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[State](string(text), int(Done)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
