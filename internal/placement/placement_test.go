package placement_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

var model = &release.Engine{
	Layers: 80, LayerMB: 1750, TokenBytes: 459000, MeanPromptTokens: 772, MeanAnswerTokens: 154,
	Cards: map[string]release.Card{
		"fast": {MemoryMB: 36000, StepFactor: 3.1},
		"slow": {MemoryMB: 21600, StepFactor: 16},
	},
}

// Guards against fast cards that hold so many layers that the remaining memory serves
// only half of the streams of a data centre with several chains. Where the memory is
// needed for the only chain, fast cards must not get fewer layers.
func TestFastCardsOfSeveralChainsServeAllStreams(t *testing.T) {
	is := is.New(t)
	is.Equal(placement.ReservedStreams(model, map[string]int{"fast": 4, "slow": 20}), map[string]int{"fast": 200, "slow": 100})
	is.Equal(placement.ReservedStreams(model, map[string]int{"fast": 2, "slow": 6}), map[string]int{"fast": 100, "slow": 100})
	is.Equal(placement.ReservedStreams(model, map[string]int{"fast": 20}), map[string]int{"fast": 100})
	maxLayers, usableLayers := placement.Capacity(model, model.Cards["fast"], 100)
	is.Equal(maxLayers, 20)
	is.Equal(usableLayers, 15)
	_, usableLayers = placement.Capacity(model, model.Cards["fast"], 200)
	is.Equal(usableLayers, 12)
}
