package standin

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// ReadRuns reads the lines that a Recorder wrote. A last line that is cut off,
// as after a killed process, is left out.
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
			return nil, errors.Wrap(err, "record file")
		}
		runs = append(runs, run)
	}
}

type execution struct {
	request  fleet.RequestID
	epoch    fleet.Epoch
	position fleet.Position
	layer    fleet.Layer
}

type layerOf struct {
	request fleet.RequestID
	layer   fleet.Layer
}

// CheckSteps checks the runs of all engines together: no layer ran twice for a
// position of an epoch, and the positions that a layer ran, over all epochs,
// have no gap.
func CheckSteps(runs []Run) error {
	seen := make(map[execution]fleet.UpstreamID)
	positions := make(map[layerOf]map[fleet.Position]bool)
	for _, r := range runs {
		if r.What != "step" {
			continue
		}
		for l := r.Layers.From; l < r.Layers.To; l++ {
			for p := r.Position; p < r.Position+fleet.Position(r.Count); p++ {
				x := execution{r.Request, r.Epoch, p, l}
				if first, ok := seen[x]; ok {
					return errors.Errorf("request %s epoch %d position %d layer %d ran on %q and on %q",
						x.request, x.epoch, x.position, x.layer, first, r.Upstream)
				}
				seen[x] = r.Upstream
				k := layerOf{r.Request, l}
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
				return errors.Errorf("request %s layer %d never ran position %d", k.request, k.layer, p)
			}
		}
	}
	return nil
}

// CheckOnce checks that no idempotency key was run twice on paths that may not
// be repeated. A call on such a path without a key counts by its body.
func CheckOnce(runs []Run) error {
	type call struct{ method, path, key string }
	seen := make(map[call]fleet.UpstreamID)
	for _, r := range runs {
		if r.What != "call" || !r.Once {
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
