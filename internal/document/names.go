package document

import "github.com/bilberryrock/bilberryrock/internal/fleet"

//go:generate ../../bin/stringer -type Verdict -linecomment -output verdict_string.go
//go:generate ../../bin/stringer -type PoolKind -linecomment -output poolkind_string.go

// MarshalText returns the name of the value.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[Verdict](string(text), int(Reused)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// MarshalText returns the name of the value.
func (v PoolKind) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets the value that has the given name.
func (v *PoolKind) UnmarshalText(text []byte) error {
	parsed, err := fleet.ParseEnum[PoolKind](string(text), int(ServicePool)+1)
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
