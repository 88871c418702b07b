package upstream

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type Kind -linecomment -output kind_string.go
//go:generate ../../bin/stringer -type State -linecomment -output state_string.go
//go:generate ../../bin/stringer -type FencePolicy -linecomment -output fencepolicy_string.go
//go:generate ../../bin/stringer -type CommandKind -linecomment -output commandkind_string.go

// MarshalText returns the name of the value.
func (v Kind) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *Kind) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[Kind](string(text), int(Service)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// MarshalText returns the name of the value.
func (v State) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *State) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[State](string(text), int(Leaving)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// MarshalText returns the name of the value.
func (v FencePolicy) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *FencePolicy) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[FencePolicy](string(text), int(RejectsStaleToken)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// MarshalText returns the name of the value.
func (v CommandKind) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *CommandKind) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[CommandKind](string(text), int(ChangeRole)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
