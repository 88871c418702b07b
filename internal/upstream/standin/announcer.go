package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// AnnounceInterval is the time between two announcements.
const AnnounceInterval = time.Second

// Announcer posts the announcements of a Standin to one of several instances,
// and to the next one when that fails.
type Announcer struct {
	standin *Standin
	targets []string
	token   string
	client  *http.Client
	logger  *zap.Logger
	next    int
}

// NewAnnouncer returns an Announcer. Targets are base URLs of instances; token
// is sent as a bearer token.
func NewAnnouncer(s *Standin, targets []string, token string, logger *zap.Logger) *Announcer {
	return &Announcer{
		standin: s,
		targets: targets,
		token:   token,
		client:  &http.Client{Timeout: AnnounceInterval},
		logger:  logger.Named("announcer"),
	}
}

// Run announces every second until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.standin.faults.get().Frozen {
			a.Announce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-a.standin.clock.After(AnnounceInterval):
		}
	}
}

// Announce sends one announcement, to each target in turn until one accepts it.
func (a *Announcer) Announce(ctx context.Context) {
	body, err := json.Marshal(a.standin.Announce())
	if err != nil {
		a.logger.Error("The announcement could not be encoded.", zap.Error(err))
		return
	}
	for range a.targets {
		target := a.targets[a.next%len(a.targets)]
		err := a.post(ctx, target, body)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.logger.Info("The announcement failed.", zap.String("target", target), zap.Error(err))
		a.next++
	}
}

func (a *Announcer) post(ctx context.Context, target string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+a.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("instance answered %s", response.Status)
	}
	return nil
}
