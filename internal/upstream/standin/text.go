package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// endTokenOdds is the odds against the end of the text: one token in endTokenOdds
// ends it.
const endTokenOdds = 96

var syllables = [16]string{
	"ba", "do", "fen", "gil", "hu", "ja", "kor", "lim",
	"mo", "nes", "pa", "rit", "so", "tul", "ve", "zan",
}

// Generate returns the text that a chain of healthy engines generates for a
// prompt, and the finish reason. Layers is the number of layers of the model.
func Generate(model fleet.ModelID, version, adapter string, layers int, prompt []uint64, maxTokens int) (string, pipeline.FinishReason) {
	tokens, reason := GenerateTokens(model, version, adapter, layers, prompt, maxTokens)
	return strings.Join(tokens, ""), reason
}

// GenerateTokens is like Generate but returns the text of each token.
func GenerateTokens(model fleet.ModelID, version, adapter string, layers int, prompt []uint64, maxTokens int) ([]string, pipeline.FinishReason) {
	states := make([]uint64, layers)
	seeds := make([]uint64, layers)
	for l := range seeds {
		seeds[l] = layerSeed(model, version, adapter, fleet.Layer(l))
	}
	run := func(value uint64) uint64 {
		for l := range states {
			states[l] = mix(seeds[l], states[l], value)
			value = states[l]
		}
		return value
	}
	var value uint64
	for _, id := range prompt {
		value = run(id)
	}
	var tokens []string
	for range maxTokens {
		tokens = append(tokens, tokenText(value))
		if isEndToken(value) {
			return tokens, pipeline.FinishStop
		}
		if len(tokens) < maxTokens {
			value = run(value)
		}
	}
	return tokens, pipeline.FinishLength
}

// layerSeed returns the seed that represents the weights of a layer. It depends on
// the model, version, adapter and layer index, so the generated text does too.
func layerSeed(model fleet.ModelID, version, adapter string, layer fleet.Layer) uint64 {
	d := xxhash.New()
	for _, s := range []string{string(model), version, adapter} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(layer))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// mix returns the state of a layer after one more position. The state depends
// on all inputs of the layer and on their order.
func mix(seed, state, input uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	binary.LittleEndian.PutUint64(b[8:], state)
	binary.LittleEndian.PutUint64(b[16:], input)
	return xxhash.Sum64(b[:])
}

func tokenText(value uint64) string {
	return " " + syllables[value&15] + syllables[value>>4&15] + syllables[value>>8&15]
}

func isEndToken(value uint64) bool { return value>>16%endTokenOdds == 0 }

func contains(r, part upstream.LayerRange) bool {
	return part.From >= r.From && part.To <= r.To && part.Len() > 0
}
