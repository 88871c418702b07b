package membership

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type Status -linecomment -output status_string.go

// MarshalText returns the name of the value.
func (v Status) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *Status) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[Status](string(text), int(Left)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
