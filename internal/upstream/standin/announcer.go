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

// AnnounceInterval is the time between successive announcements.
const AnnounceInterval = time.Second

// Announcer posts the announcements of a Standin to one of several instances.
// After a failure it moves on to the next instance.
type Announcer struct {
	standin    *Standin
	targets    []string
	token      string
	client     *http.Client
	logger     *zap.Logger
	nextTarget int
}

// NewAnnouncer returns an Announcer for s. Targets are the base URLs of
// instances; token is sent as a bearer token.
func NewAnnouncer(s *Standin, targets []string, token string, logger *zap.Logger) *Announcer {
	return &Announcer{
		standin: s,
		targets: targets,
		token:   token,
		client:  &http.Client{Timeout: AnnounceInterval},
		logger:  logger.Named("announcer"),
	}
}

// Run sends an announcement every AnnounceInterval until ctx is done. It sends
// none while the stand-in is frozen by a fault.
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

// Announce sends one announcement, trying each target in turn until one accepts
// it.
func (a *Announcer) Announce(ctx context.Context) {
	body, err := json.Marshal(a.standin.NextAnnouncement())
	if err != nil {
		a.logger.Error("Failed to encode the announcement.", zap.Error(err))
		return
	}
	for range a.targets {
		target := a.targets[a.nextTarget%len(a.targets)]
		err := a.post(ctx, target, body)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.logger.Info("Failed to send the announcement to an instance.", zap.String("target", target), zap.Error(err))
		a.nextTarget++
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
	// The connection is reused only if the body was read to the end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("instance responded with status %s", response.Status)
	}
	return nil
}
