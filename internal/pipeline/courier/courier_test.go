package courier_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// TestChainOverHTTP guards against a layer that is skipped, repeated or run out
// of order on the whole path from the courier to the engines.
func TestChainOverHTTP(t *testing.T) {
	is := is.New(t)
	chain := courier.Fixed{Model: "ledger", Version: "1"}
	for i, layers := range []upstream.LayerRange{{From: 0, To: 3}, {From: 3, To: 4}, {From: 4, To: 8}} {
		a := upstream.Announcement{
			ID: fleet.UpstreamID(rune('a' + i)), Kind: upstream.Engine,
			Model: "ledger", Version: "1", Layers: layers,
		}
		s := standin.New(standin.Config{Announcement: a, TotalLayers: 8})
		defer s.Close()
		server := httptest.NewServer(s)
		defer server.Close()
		a.Address = server.Listener.Addr().String()
		chain.Stages = append(chain.Stages, pipeline.Stage{Upstream: upstream.Upstream{Announcement: a}, Layers: layers})
	}
	dialer := engine.NewDialer()
	defer dialer.Close()
	prompt := []uint64{5, 7, 11}
	var text strings.Builder
	g := pipeline.Generation{Request: "r1", Model: "ledger", Prompt: prompt, MaxTokens: 40}
	reason, err := courier.New(chain, dialer).Run(context.Background(), g, func(p pipeline.Piece) error {
		text.WriteString(p.Text)
		return nil
	})
	is.NoErr(err)
	want, wantReason := standin.Generate("ledger", "1", "", 8, prompt, 40)
	is.Equal(text.String(), want)
	is.Equal(reason, wantReason)
}
