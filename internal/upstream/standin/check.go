package standin

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// ReadRuns reads the lines that a Recorder wrote. A truncated last line, as a
// killed process leaves it, is ignored.
func ReadRuns(r io.Reader) ([]Run, error) {
	var runs []Run
	decoder := json.NewDecoder(r)
	for {
		var run Run
		err := decoder.Decode(&run)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode record file")
		}
		runs = append(runs, run)
	}
}

type executionKey struct {
	request  fleet.RequestID
	epoch    fleet.Epoch
	position fleet.Position
	layer    fleet.Layer
}

type layerKey struct {
	request fleet.RequestID
	layer   fleet.Layer
}

// CheckSteps verifies the runs of all engines together: no layer ran twice for the
// same position and epoch, and the positions that a layer ran, over all
// epochs, start at 0 and have no gap.
func CheckSteps(runs []Run) error {
	seen := make(map[executionKey]fleet.UpstreamID)
	positions := make(map[layerKey]map[fleet.Position]bool)
	for _, r := range runs {
		if r.Kind != "step" {
			continue
		}
		for l := r.Layers.From; l < r.Layers.To; l++ {
			for p := r.Position; p < r.Position+fleet.Position(r.Count); p++ {
				key := executionKey{r.Request, r.Epoch, p, l}
				if first, ok := seen[key]; ok {
					return errors.Errorf("request %s: epoch %d position %d layer %d ran on %q and on %q",
						key.request, key.epoch, key.position, key.layer, first, r.Upstream)
				}
				seen[key] = r.Upstream
				k := layerKey{r.Request, l}
				if positions[k] == nil {
					positions[k] = make(map[fleet.Position]bool)
				}
				positions[k][p] = true
			}
		}
	}
	for k, covered := range positions {
		for p := range fleet.Position(len(covered)) {
			if !covered[p] {
				return errors.Errorf("request %s: layer %d never ran position %d", k.request, k.layer, p)
			}
		}
	}
	return nil
}

// CheckAtMostOnce verifies that no idempotency key was run twice on at-most-once
// paths. Calls on such a path without a key are identified by the digest of their
// body.
func CheckAtMostOnce(runs []Run) error {
	type call struct{ method, path, key string }
	seen := make(map[call]fleet.UpstreamID)
	for _, r := range runs {
		if r.Kind != "call" || !r.AtMostOnce {
			continue
		}
		c := call{r.Method, r.Path, r.Key}
		if r.Key == "" {
			c.key = "body " + r.Digest
		}
		if first, ok := seen[c]; ok {
			return errors.Errorf("%s %s with key %q ran on %q and on %q", c.method, c.path, c.key, first, r.Upstream)
		}
		seen[c] = r.Upstream
	}
	return nil
}
