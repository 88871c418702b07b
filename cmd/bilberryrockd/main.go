// Command bilberryrockd is the daemon of an entry instance.
//
//	bilberryrockd --config a.ini
//
// It runs until SIGTERM or SIGINT and then stops gracefully: it takes no new
// work and ends once all requests in progress are answered. At SIGHUP it checks the
// settings file and logs whether a restart is needed. Its exit status is 0
// after a graceful stop, 2 if the settings are wrong and 1 for any other error.
package main

import (
	"fmt"
	"os"
	"reflect"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	// Time zones of quiet-hours windows must not depend on the host.
	_ "time/tzdata"

	"github.com/bilberryrock/bilberryrock/internal/entry/daemon"
	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config string `long:"config" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and end"`
	Keys   bool   `long:"keys" description:"print a table of all settings and end"`
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
		return exitSettings
	}
	if o.Keys {
		printKeys()
		return 0
	}
	if o.Config == "" {
		fmt.Fprintln(os.Stderr, "bilberryrockd: --config is needed")
		return exitSettings
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrockd:", err)
		return exitSettings
	}
	if o.Check {
		fmt.Printf("%s: no fault found\n", o.Config)
		return 0
	}
	out := output.New(os.Stderr, systemclock.Clock{})
	defer out.Close()
	log, err := newLog(s.Log, out)
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
	d, err := daemon.New(s, daemon.WithLog(log))
	if err != nil {
		log.Named("daemon").Error("The daemon could not start.", zap.Error(err))
		return exitFailed
	}
	log = log.Named("daemon")
	life := lifecycle.New(signals, systemclock.Clock{}, log, lifecycle.Reload(0, func() { compare(file, s, log) }))
	var failed error
	select {
	case <-life.Stopping():
	case failed = <-d.Failed():
		log.Error("A listener failed.", zap.Error(failed))
	}
	if err := d.Stop(); err != nil {
		log.Error("The stop was not graceful.", zap.Error(err))
		return exitFailed
	}
	if failed != nil {
		return exitFailed
	}
	return 0
}

// compare tells whether the settings file differs from the settings in force, which
// are those of the start.
func compare(file string, s settings.Settings, log *zap.Logger) {
	n, err := settings.Load(file)
	switch {
	case err != nil:
		log.Warn("The settings file has a fault.", zap.Error(err))
	case reflect.DeepEqual(n, s):
		log.Info("The settings have not changed.")
	default:
		log.Warn("The settings have changed; they take effect at the next start.")
	}
}

// newLog returns a logger to out in the format of the settings.
func newLog(l settings.Log, out *output.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config, encoder, trace := zap.NewProductionEncoderConfig(), zapcore.NewJSONEncoder, zapcore.ErrorLevel
	if l.Format == "console" {
		config, encoder, trace = zap.NewDevelopmentEncoderConfig(), zapcore.NewConsoleEncoder, zapcore.WarnLevel
	}
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	// Without sampling, which would drop lines that an operator looks for.
	return zap.New(output.OmitStackTraces(zapcore.NewCore(encoder(config), out, level)), zap.AddCaller(), zap.AddStacktrace(trace)), nil
}
