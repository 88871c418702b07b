// Command bilberryrock-standin runs a small fake of a model engine or a plain
// service for demos and tests.
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
	drainPoll         = 20 * time.Millisecond
	// diedStatus is the exit status after the fault "die".
	diedStatus = 70
)

type options struct {
	Kind        string        `long:"kind" choice:"engine" choice:"service" default:"engine" description:"kind of upstream"`
	ID          string        `long:"id" required:"true" description:"upstream id"`
	Incarnation uint64        `long:"incarnation" description:"incarnation; the start time when not given"`
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
	DataCentre  string        `long:"dataCentre" default:"dc1" description:"data centre"`
	Pool        string        `long:"pool" required:"true" description:"pool"`
	Accelerator string        `long:"accelerator" description:"kind of accelerator"`
	Model       string        `long:"model" description:"model"`
	Version     string        `long:"version" description:"version of the model"`
	Adapter     string        `long:"adapter" description:"adapter of the model"`
	Layers      string        `long:"layers" default:"0:0" description:"layers that the engine holds, such as 0:4"`
	TotalLayers int           `long:"totalLayers" description:"number of layers of the model"`
	Fencing     string        `long:"fencing" choice:"ignores" choice:"refusesOld" default:"refusesOld" description:"what the engine does with an old fencing token"`
	Slots       int           `long:"slots" description:"batch limit of an engine, calls at once of a service"`
	StepTime    time.Duration `long:"stepTime" description:"time of one batch"`
	Position    time.Duration `long:"positionTime" description:"additional time of each further position of a step"`
	CallTime    time.Duration `long:"callTime" description:"time of one call of a service"`
	Announce    string        `long:"announce" description:"base URLs of instances, separated by commas"`
	Token       string        `long:"token" description:"bearer token of announcements"`
	Record      string        `long:"record" description:"file to which everything that ran is appended"`
	KVTokens    int           `long:"kvTokens" description:"KV-cache memory in positions; no limit when 0"`
	Prefix      int           `long:"prefixBlocks" description:"size of the prefix cache in blocks of 16 positions"`
	EventLag    time.Duration `long:"cacheEventLag" description:"time until a cache event can be seen"`
	EventLoss   float64       `long:"cacheEventLoss" description:"share of cache events that are lost"`
	LoadLag     time.Duration `long:"loadLag" description:"age of the reported load"`
	Session     time.Duration `long:"sessionTimeout" default:"1m" description:"time after which an unused request is dropped"`
	WeightRate  int64         `long:"weightRate" description:"rate of the weight store in bytes per second; no limit when 0"`
	LayerBytes  int64         `long:"layerBytes" description:"weights of one layer in bytes"`
	OncePaths   []string      `long:"oncePath" description:"path prefix of a service that may not be repeated; may be given several times"`
	Linger      time.Duration `long:"linger" description:"least time after the leave grace in which new requests are refused and recorded as late"`
	LeaveGrace  time.Duration `long:"leaveGrace" default:"4s" description:"time after SIGTERM in which new requests are still taken"`
	Seed        uint64        `long:"seed" description:"seed of faults and lost events"`
	Faults      string        `long:"faults" description:"faults at the start, as the JSON that POST /faults takes"`
	Drain       time.Duration `long:"drain" default:"1m" description:"longest time to finish work in progress after the grace time"`
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
		logger.Error("The stand-in stopped with an error.", zap.Error(err))
		os.Exit(1)
	}
}

func run(o options, signals lifecycle.Signals, logger *zap.Logger) error {
	config, err := o.config()
	if err != nil {
		return err
	}
	record, err := openRecord(o.Record)
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
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logger.Info("The stand-in listens.", zap.String("id", o.ID), zap.String("address", config.Announcement.Address))

	life := lifecycle.New(signals, systemclock.Clock{}, logger)
	term, stop := context.WithCancel(context.Background())
	defer stop()
	announcer := standin.NewAnnouncer(s, targets(o.Announce), o.Token, logger)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		announcer.Run(term)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-life.Stopping():
		stop()
	}
	<-announced
	return leave(s, server, announcer, o.LeaveGrace+o.Linger, o.Drain)
}

// leave tells the instances, stays for the least time, in the beginning of which
// new work is taken, finishes the work in progress and closes the listener.
func leave(s *standin.Standin, server *http.Server, announcer *standin.Announcer, least, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), least+drain)
	defer cancel()
	s.Leave()
	announcer.Announce(ctx)
	go announcer.Run(ctx)
	end := time.Now().Add(least)
	for (s.Busy() > 0 || time.Now().Before(end)) && ctx.Err() == nil {
		time.Sleep(drainPoll)
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
		return standin.Config{}, errors.Wrapf(err, "layers %q", o.Layers)
	}
	var faults standin.Faults
	if o.Faults != "" {
		if err := json.Unmarshal([]byte(o.Faults), &faults); err != nil {
			return standin.Config{}, errors.Wrapf(err, "faults %q", o.Faults)
		}
	}
	return standin.Config{
		Announcement: a, TotalLayers: fleet.Layer(o.TotalLayers),
		StepTime: o.StepTime, PositionTime: o.Position, CallTime: o.CallTime,
		KVTokens: o.KVTokens, PrefixBlocks: o.Prefix,
		CacheEventLag: o.EventLag, CacheEventLoss: o.EventLoss, LoadLag: o.LoadLag,
		SessionTimeout: o.Session, LeaveGrace: o.LeaveGrace,
		Weights: &standin.WeightStore{BytesPerSecond: o.WeightRate}, LayerBytes: o.LayerBytes,
		AtMostOncePaths: o.OncePaths, Faults: faults, Seed: o.Seed,
		Exit: func() { os.Exit(diedStatus) },
	}, nil
}

func targets(list string) []string {
	var urls []string
	for _, u := range strings.Split(list, ",") {
		if u = strings.TrimSuffix(strings.TrimSpace(u), "/"); u != "" {
			urls = append(urls, u)
		}
	}
	return urls
}

func openRecord(name string) (io.WriteCloser, error) {
	if name == "" {
		return discard{}, nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "record file")
}

// discard is a record file that keeps nothing.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }
