// Command bilberryrock-standin runs a fake model engine or a fake plain service
// for demos and tests.
//
//	bilberryrock-standin --kind engine --id e1 --listen 127.0.0.1:7101 \
//		--dataCentre dc1 --pool engines --model ledger --version 1 \
//		--layers 0:4 --totalLayers 8 --announce http://127.0.0.1:7001 --token secret
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

const (
	readHeaderTimeout = 10 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// exitFaultStatus is the exit status of a process that the fault "die" ended.
	exitFaultStatus = 70
)

type options struct {
	Kind                 string        `long:"kind" choice:"engine" choice:"service" default:"engine" description:"kind of upstream"`
	ID                   string        `long:"id" required:"true" description:"upstream id"`
	Incarnation          uint64        `long:"incarnation" description:"incarnation; the start time when not given"`
	Listen               string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
	DataCentre           string        `long:"dataCentre" default:"dc1" description:"data centre"`
	Pool                 string        `long:"pool" required:"true" description:"pool"`
	Accelerator          string        `long:"accelerator" description:"kind of accelerator"`
	Model                string        `long:"model" description:"model"`
	Version              string        `long:"version" description:"version of the model"`
	Adapter              string        `long:"adapter" description:"adapter of the model"`
	Layers               string        `long:"layers" default:"0:0" description:"layers that the engine holds, such as 0:4"`
	TotalLayers          int           `long:"totalLayers" description:"number of layers of the model"`
	Fencing              string        `long:"fencing" choice:"ignores" choice:"refusesOld" default:"refusesOld" description:"what the engine does with an old fencing token"`
	Slots                int           `long:"slots" description:"batch limit of an engine, calls at once of a service"`
	StepTime             time.Duration `long:"stepTime" description:"time of one batch"`
	PositionTime         time.Duration `long:"positionTime" description:"additional time of each further position of a step"`
	CallTime             time.Duration `long:"callTime" description:"time of one call of a service"`
	Announce             string        `long:"announce" description:"base URLs of instances, separated by commas"`
	Token                string        `long:"token" description:"bearer token of announcements"`
	Record               string        `long:"record" description:"file to which everything that ran is appended"`
	KVTokens             int           `long:"kvTokens" description:"KV-cache memory in positions; no limit when 0"`
	PrefixBlocks         int           `long:"prefixBlocks" description:"size of the prefix cache in blocks of 16 positions"`
	CacheEventLag        time.Duration `long:"cacheEventLag" description:"time until a cache event can be seen"`
	CacheEventLoss       float64       `long:"cacheEventLoss" description:"share of cache events that are lost"`
	LoadLag              time.Duration `long:"loadLag" description:"age of the reported load"`
	SessionTimeout       time.Duration `long:"sessionTimeout" default:"1m" description:"time after which an unused request is dropped"`
	WeightBytesPerSecond int64         `long:"weightRate" description:"rate of the weight store in bytes per second; no limit when 0"`
	LayerBytes           int64         `long:"layerBytes" description:"weights of one layer in bytes"`
	AtMostOncePaths      []string      `long:"oncePath" description:"path prefix of a service that may not be repeated; may be given several times"`
	Linger               time.Duration `long:"linger" description:"least time after the leave grace in which new requests are refused and recorded as late"`
	LeaveGrace           time.Duration `long:"leaveGrace" default:"4s" description:"time after SIGTERM in which new requests are still taken"`
	Seed                 uint64        `long:"seed" description:"seed of faults and lost events"`
	Faults               string        `long:"faults" description:"faults at the start, as the JSON that POST /faults takes"`
	DrainTimeout         time.Duration `long:"drain" default:"1m" description:"longest time to finish work in progress after the grace time"`
}

func main() {
	signals := lifecycle.Catch()
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	logger := zap.Must(zap.NewProduction()).Named("standin")
	if err := run(o, signals, logger); err != nil {
		logger.Error("Stand-in stopped with an error.", zap.Error(err))
		os.Exit(1)
	}
}

func run(o options, signals lifecycle.Signals, logger *zap.Logger) error {
	config, err := o.config()
	if err != nil {
		return err
	}
	record, err := openRecordFile(o.Record)
	if err != nil {
		return err
	}
	defer record.Close()
	config.Recorder = standin.NewRecorder(record)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", o.Listen)
	}
	config.Announcement.Address = listener.Addr().String()
	s := standin.New(config)
	defer s.Close()
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	logger.Info("Stand-in is listening.", zap.String("id", o.ID), zap.String("address", config.Announcement.Address))

	manager := lifecycle.New(signals, systemclock.Clock{}, logger)
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	announcer := standin.NewAnnouncer(s, parseTargets(o.Announce), o.Token, logger)
	announcerDone := make(chan struct{})
	go func() {
		defer close(announcerDone)
		announcer.Run(announceCtx)
	}()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-manager.Stopping():
		stopAnnouncing()
	}
	<-announcerDone
	return drain(s, server, announcer, o.LeaveGrace+o.Linger, o.DrainTimeout)
}

// drain announces that the stand-in is leaving, waits for minDuration and until no
// request is in progress, then shuts down the server. New requests are accepted
// during the leave grace period at the start of minDuration. After
// minDuration+drainTimeout, it stops waiting.
func drain(s *standin.Standin, server *http.Server, announcer *standin.Announcer, minDuration, drainTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), minDuration+drainTimeout)
	defer cancel()
	s.Leave()
	announcer.Announce(ctx)
	go announcer.Run(ctx)
	minEnd := time.Now().Add(minDuration)
	for (s.ActiveRequests() > 0 || time.Now().Before(minEnd)) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	return server.Shutdown(ctx)
}

func (o options) config() (standin.Config, error) {
	a := upstream.Announcement{
		ID: fleet.UpstreamID(o.ID), Incarnation: fleet.Incarnation(o.Incarnation),
		DataCentre: fleet.DataCentreID(o.DataCentre), Pool: fleet.PoolID(o.Pool),
		Accelerator: o.Accelerator, Model: fleet.ModelID(o.Model),
		Version: o.Version, Adapter: o.Adapter, Slots: o.Slots,
	}
	if a.Incarnation == 0 {
		a.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	}
	if err := a.Kind.UnmarshalText([]byte(o.Kind)); err != nil {
		return standin.Config{}, err
	}
	if err := a.Fencing.UnmarshalText([]byte(o.Fencing)); err != nil {
		return standin.Config{}, err
	}
	if _, err := fmt.Sscanf(o.Layers, "%d:%d", &a.Layers.From, &a.Layers.To); err != nil {
		return standin.Config{}, errors.Wrapf(err, "parse --layers %q", o.Layers)
	}
	var faults standin.Faults
	if o.Faults != "" {
		if err := json.Unmarshal([]byte(o.Faults), &faults); err != nil {
			return standin.Config{}, errors.Wrapf(err, "parse --faults %q", o.Faults)
		}
	}
	return standin.Config{
		Announcement: a, TotalLayers: fleet.Layer(o.TotalLayers),
		StepTime: o.StepTime, PositionTime: o.PositionTime, CallTime: o.CallTime,
		KVTokens: o.KVTokens, PrefixBlocks: o.PrefixBlocks,
		CacheEventLag: o.CacheEventLag, CacheEventLoss: o.CacheEventLoss, LoadLag: o.LoadLag,
		SessionTimeout: o.SessionTimeout, LeaveGrace: o.LeaveGrace,
		Weights: &standin.WeightStore{BytesPerSecond: o.WeightBytesPerSecond}, LayerBytes: o.LayerBytes,
		AtMostOncePaths: o.AtMostOncePaths, Faults: faults, Seed: o.Seed,
		Exit: func() { os.Exit(exitFaultStatus) },
	}, nil
}

// parseTargets splits a comma-separated list of base URLs.
func parseTargets(list string) []string {
	var urls []string
	for _, u := range strings.Split(list, ",") {
		if u = strings.TrimSuffix(strings.TrimSpace(u), "/"); u != "" {
			urls = append(urls, u)
		}
	}
	return urls
}

// openRecordFile opens a file for appending. Without a name, everything that is
// written is discarded.
func openRecordFile(name string) (io.WriteCloser, error) {
	if name == "" {
		return discard{}, nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "open record file")
}

// discard is an io.WriteCloser that discards all data.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }
