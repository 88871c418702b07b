package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// TestLeave guards against a stand-in that stops announcing when its first
// instance is unreachable, that does not announce that it is leaving, or that
// aborts work in progress on SIGTERM.
func TestLeave(t *testing.T) {
	is := is.New(t)
	announced := make(chan upstream.Announcement, 100)
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a upstream.Announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil && r.URL.Path == "/v1/announcements" && r.Header.Get("Authorization") == "Bearer secret" {
			announced <- a
		}
	}))
	defer instance.Close()
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	record := filepath.Join(t.TempDir(), "record")
	var o options
	_, err := flags.ParseArgs(&o, []string{
		"--id", "e1", "--pool", "p", "--model", "m", "--version", "1", "--layers", "0:4", "--totalLayers", "4",
		"--announce", unreachable.URL + "/, " + instance.URL, "--token", "secret", "--record", record, "--leaveGrace", "0s",
	})
	is.NoErr(err)
	done := make(chan error)
	go func() { done <- run(o, lifecycle.Catch(), zap.NewNop()) }()

	a := <-announced
	is.Equal(a.State, upstream.Serving)
	dialer := engine.NewDialer()
	defer dialer.Close()
	e := dialer.Engine(upstream.Upstream{Announcement: a})
	step := func(r fleet.RequestID, p fleet.Position) error {
		_, err := e.Step(context.Background(), upstream.Step{
			Request: r, Epoch: 1, Position: p, Model: "m", Version: "1", Layers: a.Layers, Input: []uint64{1},
		})
		return err
	}
	is.NoErr(step("r1", 0))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for a.State != upstream.Leaving {
		a = <-announced
	}
	is.NoErr(step("r1", 1))       // the request in progress continues
	is.True(step("r2", 0) != nil) // a new one is rejected
	is.NoErr(e.Cancel(context.Background(), "r1"))
	is.NoErr(<-done)

	file, err := os.Open(record)
	is.NoErr(err)
	defer file.Close()
	runs, err := standin.ReadRuns(file)
	is.NoErr(err)
	is.Equal(len(runs), 3)
	is.Equal(runs[2].Kind, "late") // the rejected request is recorded
	is.NoErr(standin.CheckSteps(runs))
}
