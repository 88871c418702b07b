package pipeline

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type FinishReason -linecomment -output finishreason_string.go

// MarshalText returns the name of the value.
func (v FinishReason) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *FinishReason) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[FinishReason](string(text), int(FinishLength)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
