// Command bilberryrockd runs the daemon of an entry instance.
//
//	bilberryrockd --config a.ini
//
// It runs until SIGTERM or SIGINT and then shuts down gracefully: it accepts no new
// work and exits once all requests in progress have completed. On SIGHUP it checks
// the settings file and logs whether a restart is needed. The exit status is 0
// after a graceful shutdown, 2 if the settings are invalid and 1 for any other
// error.
package main

import (
	"fmt"
	"os"
	"reflect"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	// Embeds the time zone database, so that the time zones of quiet-hours windows
	// do not depend on the host.
	_ "time/tzdata"

	"github.com/bilberryrock/bilberryrock/internal/entry/daemon"
	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/entry/listener"
	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
)

const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

type options struct {
	Config string `long:"config" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and exit"`
	Keys   bool   `long:"keys" description:"print a table of all settings and exit"`
}

func main() {
	os.Exit(run(lifecycle.Catch()))
}

func run(signals lifecycle.Signals) int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return 0
		}
		return exitInvalidSettings
	}
	if o.Keys {
		printKeys()
		return 0
	}
	if o.Config == "" {
		fmt.Fprintln(os.Stderr, "bilberryrockd: --config is needed")
		return exitInvalidSettings
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrockd:", err)
		return exitInvalidSettings
	}
	if o.Check {
		fmt.Printf("%s: no fault found\n", o.Config)
		return 0
	}
	out := output.New(os.Stderr, systemclock.Clock{})
	defer out.Close()
	log, err := newLogger(s.Log, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrockd:", err)
		return exitFailed
	}
	return serve(o.Config, s, signals, log)
}

func printKeys() {
	for _, k := range settings.Keys() {
		fmt.Println(k.Row())
	}
}

func serve(file string, s settings.Settings, signals lifecycle.Signals, log *zap.Logger) int {
	debug.SetMemoryLimit(listener.RuntimeMemoryLimit(s.Limits.MemoryBytes))
	d, err := daemon.New(s, daemon.WithLog(log))
	if err != nil {
		log.Named("daemon").Error("The daemon could not start.", zap.Error(err))
		return exitFailed
	}
	log = log.Named("daemon")
	manager := lifecycle.New(signals, systemclock.Clock{}, log, lifecycle.WithReload(0, func() { checkReload(file, s, log) }))
	var listenerErr error
	select {
	case <-manager.Stopping():
	case listenerErr = <-d.Failed():
		log.Error("A listener failed.", zap.Error(listenerErr))
	}
	if err := d.Stop(); err != nil {
		log.Error("Graceful shutdown failed.", zap.Error(err))
		return exitFailed
	}
	if listenerErr != nil {
		return exitFailed
	}
	return 0
}

// checkReload logs whether the settings file is valid and differs from the active
// settings, which are those read at the start.
func checkReload(file string, s settings.Settings, log *zap.Logger) {
	reloaded, err := settings.Load(file)
	switch {
	case err != nil:
		log.Warn("The settings file is invalid.", zap.Error(err))
	case reflect.DeepEqual(reloaded, s):
		log.Info("The settings have not changed.")
	default:
		log.Warn("The settings have changed; they take effect at the next start.")
	}
}

// newLogger returns a logger that writes to out with the level and format of l.
func newLogger(l settings.Log, out *output.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config, encoder, stackLevel := zap.NewProductionEncoderConfig(), zapcore.NewJSONEncoder, zapcore.ErrorLevel
	if l.Format == "console" {
		config, encoder, stackLevel = zap.NewDevelopmentEncoderConfig(), zapcore.NewConsoleEncoder, zapcore.WarnLevel
	}
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	// Sampling is not used, because it would drop lines that an operator may need.
	return zap.New(output.OmitStackTraces(zapcore.NewCore(encoder(config), out, level)), zap.AddCaller(), zap.AddStacktrace(stackLevel)), nil
}
