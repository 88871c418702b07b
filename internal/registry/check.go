package registry

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/excerpt"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 1 << 20
	// MaxNameBytes is the maximum length of the ID, the pool, the data centre and the card
	// of an upstream.
	MaxNameBytes = 256
	// MaxIncarnation is the highest start time, the end of the year 9999. An entry with a
	// later one would never be replaced.
	MaxIncarnation fleet.Incarnation = 253_402_300_799_999
	// MaxWarmUp is the longest time for which an upstream can be slow after its start.
	MaxWarmUp = 24 * time.Hour
)

// Check returns an error of kind refusal.BadRequest if an entry cannot be the registration
// of an upstream. The feed transmits all entries that pass the check without loss.
func (e Entry) Check() error {
	if err := CheckID(e.ID); err != nil {
		return err
	}
	for _, name := range []string{string(e.Pool), string(e.DataCentre), e.Card} {
		if !validName(name) {
			return refusal.New(refusal.BadRequest, "entry of upstream %.64q has the name %.64q, which is no text of at most %d bytes", e.ID, name, MaxNameBytes)
		}
	}
	if e.Pool == "" {
		return refusal.New(refusal.BadRequest, "entry of upstream %.64q in the pool %.64q lacks a name", e.ID, e.Pool)
	}
	if err := checkAddress(e.Address); err != nil {
		return refusal.WithCause(refusal.BadRequest, excerpt.Error(err), "entry of upstream %.64q", e.ID)
	}
	if e.Slots < 0 || e.Slots > MaxSlots {
		return refusal.New(refusal.BadRequest, "entry of upstream %.64q has %d slots", e.ID, e.Slots)
	}
	if err := CheckLayers(e.Layers); err != nil {
		return refusal.WithCause(refusal.BadRequest, err, "entry of upstream %.64q", e.ID)
	}
	if e.Incarnation > MaxIncarnation {
		return refusal.New(refusal.BadRequest, "entry of upstream %.64q has the start time %d", e.ID, e.Incarnation)
	}
	if e.WarmUpRemaining < 0 || e.WarmUpRemaining > MaxWarmUp {
		return refusal.New(refusal.BadRequest, "entry of upstream %.64q warms up for %s", e.ID, e.WarmUpRemaining)
	}
	return nil
}

// CheckID returns an error of kind refusal.BadRequest if id cannot be the ID of an upstream.
func CheckID(id fleet.UpstreamID) error {
	if id == "" || !validName(string(id)) {
		return refusal.New(refusal.BadRequest, "the ID %.64q of an upstream is no text of 1 to %d bytes", id, MaxNameBytes)
	}
	return nil
}

func validName(name string) bool { return len(name) <= MaxNameBytes && utf8.ValidString(name) }

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if ip := a.Addr(); a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return refusal.New(refusal.BadRequest, "%s is no address of an upstream", address)
	}
	return nil
}

// CheckLayers returns an error if r is no range of the layers of a model.
func CheckLayers(r upstream.LayerRange) error {
	if r.From < 0 || r.From > r.To || r.To > release.MaxLayers {
		return refusal.New(refusal.BadRequest, "%d to %d is no range of layers", r.From, r.To)
	}
	return nil
}
