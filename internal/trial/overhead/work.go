package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// prompt returns the prompt of request i. It is the same on both sides, so that both
// generate the same text.
func prompt(i int) string { return fmt.Sprintf("row %d of the ledger", i) }

// daemonCompletion streams a completion through the daemon.
func (r *Testbed) daemonCompletion(ctx context.Context, i int, t *Measurements) error {
	started := time.Now()
	body := fmt.Appendf(nil, `{"model":"transcriber","prompt":%q,"max_tokens":%d,"stream":true}`, prompt(i), maxTokens)
	response, err := r.sendRequest(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	last := started
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		event, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(event) == "[DONE]" {
			return errors.Wrap(t.RequestTimes.RecordValue(int64(time.Since(started))), "record request")
		}
		if bytes.Contains(event, []byte(`"finish_reason":null`)) {
			if last, err = t.recordToken(last); err != nil {
				return err
			}
		}
	}
	return errors.New("stream ended without [DONE]")
}

// recordToken records a token that has just arrived, and returns the time of its
// arrival. The token before it arrived at last.
func (t *Measurements) recordToken(last time.Time) (time.Time, error) {
	now := time.Now()
	t.Count++
	return now, errors.Wrap(t.TokenIntervals.RecordValue(int64(now.Sub(last))), "record token")
}

// directCompletion runs the steps of a completion on the engines, as the daemon does.
func (r *Testbed) directCompletion(ctx context.Context, i int, t *Measurements) error {
	started := time.Now()
	id := fleet.InstanceID("direct").NewRequestID()
	first, second := r.engines[0][i%replicas], r.engines[1][i%replicas]
	text := prompt(i)
	input := make([]uint64, len(text))
	for j := range len(text) {
		input[j] = uint64(text[j])
	}
	last, position := started, 0
	for range maxTokens {
		result, err := runStages(ctx, first, second, id, fleet.Position(position), input)
		if err != nil {
			return err
		}
		if last, err = t.recordToken(last); err != nil {
			return err
		}
		if result.End {
			break
		}
		position += len(input)
		input = result.Output[len(result.Output)-1:]
	}
	if err := t.RequestTimes.RecordValue(int64(time.Since(started))); err != nil {
		return errors.Wrap(err, "record request")
	}
	for _, e := range []upstream.EngineClient{first, second} {
		if err := e.Cancel(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// runStages runs one step through both stages.
func runStages(ctx context.Context, first, second upstream.EngineClient, id fleet.RequestID, position fleet.Position, input []uint64) (upstream.StepResult, error) {
	s := upstream.Step{
		Request: id, Epoch: 1, Position: position, Model: "transcriber", Version: "v1",
		Layers: upstream.LayerRange{From: 0, To: layers / 2}, Input: input,
	}
	result, err := first.Step(ctx, s)
	if err != nil {
		return result, err
	}
	s.Layers = upstream.LayerRange{From: layers / 2, To: layers}
	s.Input = result.Output
	return second.Step(ctx, s)
}

func lookupPath(i int) string { return fmt.Sprintf("/lookups/row-%d", i) }

// lookups returns the functions that run lookups of a kind on each side.
func (r *Testbed) lookups(k Kind) (direct, daemon workFunc) {
	direct = func(ctx context.Context, i int, t *Measurements) error {
		started := time.Now()
		response, err := r.services[k][i%replicas].Call(ctx, upstream.Call{Method: http.MethodGet, Path: lookupPath(i)})
		if err != nil {
			return err
		}
		return t.recordLookup(started, response.Status)
	}
	daemon = func(ctx context.Context, i int, t *Measurements) error {
		started := time.Now()
		response, err := r.sendRequest(ctx, http.MethodGet, "/services/"+services[k].pool+lookupPath(i), nil)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.Wrap(err, "read response")
		}
		return t.recordLookup(started, response.StatusCode)
	}
	return direct, daemon
}

func (t *Measurements) recordLookup(started time.Time, status int) error {
	if status != http.StatusOK {
		return errors.Errorf("status %d", status)
	}
	t.Count++
	return errors.Wrap(t.RequestTimes.RecordValue(int64(time.Since(started))), "record lookup")
}
