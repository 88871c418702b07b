package registry_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// TestCheck guards against entries that the feed cannot carry or that are never replaced,
// and against bounds that refuse an upstream.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(e *registry.Entry)
		valid  bool
	}{
		"unchanged":         {func(*registry.Entry) {}, true},
		"most slots":        {func(e *registry.Entry) { e.Slots = registry.MaxSlots }, true},
		"latest start":      {func(e *registry.Entry) { e.Incarnation = registry.MaxIncarnation }, true},
		"longest ID":        {func(e *registry.Entry) { e.ID = fleet.UpstreamID(strings.Repeat("i", registry.MaxNameBytes)) }, true},
		"IPv6":              {func(e *registry.Entry) { e.Address = "[2001:db8::1]:80" }, true},
		"no slots":          {func(e *registry.Entry) { e.Slots = 0 }, true},
		"negative slots":    {func(e *registry.Entry) { e.Slots = -1 }, false},
		"too many slots":    {func(e *registry.Entry) { e.Slots = registry.MaxSlots + 1 }, false},
		"start too late":    {func(e *registry.Entry) { e.Incarnation = registry.MaxIncarnation + 1 }, false},
		"ID too long":       {func(e *registry.Entry) { e.ID = fleet.UpstreamID(strings.Repeat("i", registry.MaxNameBytes+1)) }, false},
		"ID not UTF-8":      {func(e *registry.Entry) { e.ID = "i-\xff" }, false},
		"pool not UTF-8":    {func(e *registry.Entry) { e.Pool = "\xff" }, false},
		"card not UTF-8":    {func(e *registry.Entry) { e.Card = "\xff" }, false},
		"centre not UTF-8":  {func(e *registry.Entry) { e.DataCentre = "\xff" }, false},
		"no pool":           {func(e *registry.Entry) { e.Pool = "" }, false},
		"no ID":             {func(e *registry.Entry) { e.ID = "" }, false},
		"no port":           {func(e *registry.Entry) { e.Address = "10.0.0.1" }, false},
		"port 0":            {func(e *registry.Entry) { e.Address = "10.0.0.1:0" }, false},
		"unspecified":       {func(e *registry.Entry) { e.Address = "[::]:80" }, false},
		"multicast":         {func(e *registry.Entry) { e.Address = "224.0.0.1:80" }, false},
		"negative layer":    {func(e *registry.Entry) { e.Layers = upstream.LayerRange{From: -1} }, false},
		"too many layers":   {func(e *registry.Entry) { e.Layers.To = 1 << 40 }, false},
		"negative warm-up":  {func(e *registry.Entry) { e.WarmUpRemaining = -1 }, false},
		"too long a warmup": {func(e *registry.Entry) { e.WarmUpRemaining = registry.MaxWarmUp + 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := registry.Entry{ID: "i-1", Pool: "pool", Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 6, State: registry.Ready, Card: "card"}
			c.change(&e)
			err := e.Check()
			is.Equal(err == nil, c.valid)
			is.True(c.valid || refusal.KindOf(err) == refusal.BadRequest)
		})
	}
}
