// Command bilberryrock-platform runs a daemon on the Grayling platform.
//
//	bilberryrock-platform gateway       # forwards the requests of clients
//	bilberryrock-platform controller    # manages configuration, upstream registry and placement
//
// The settings come from the file that the platform names in the environment. A
// daemon runs until SIGTERM and then shuts down gracefully. Its exit status is 0 after
// a graceful shutdown, 2 if arguments or settings are wrong and 1 for any other error.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
	"github.com/bilberryrock/bilberryrock/platform"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Level     string `long:"logLevel" default:"info" description:"least level of the log lines: debug, info, warn or error"`
	Admission string `long:"admission" default:"auto" choice:"auto" choice:"always" choice:"never" description:"services of engines at which a gateway limits the admission of streams: auto (those whose streaming routes differ in priority or target latency), always or never"`
	Check     bool   `long:"check" description:"check the settings and end"`
	Role      struct {
		Name string `positional-arg-name:"gateway|controller" required:"yes"`
	} `positional-args:"yes"`
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
	admission, err := quota.ParseMode(o.Admission)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrock-platform: option admission:", err)
		return exitSettings
	}
	roles := map[string]func(platform.Settings, quota.Mode, lifecycle.Signals, *output.Writer, *zap.Logger) error{"gateway": runGateway, "controller": runController}
	start, ok := roles[o.Role.Name]
	if !ok {
		fmt.Fprintf(os.Stderr, "bilberryrock-platform: unknown role %q\n", o.Role.Name)
		return exitSettings
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrock-platform:", err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("no fault found")
		return 0
	}
	log, out, err := newLogger(o.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bilberryrock-platform:", err)
		return exitSettings
	}
	defer out.Close()
	logAndFlush(log, "The daemon starts.", zap.String("role", o.Role.Name), zap.String("instance", string(s.Instance)),
		zap.String("dataCentre", string(s.DataCentre)), zap.Bool("found", s.Bootstrap), zap.Strings("seeds", s.PeerSeeds))
	if err := start(s, admission, signals, out, log); err != nil {
		log.Error("The daemon ended with an error.", zap.Error(err))
		return exitFailed
	}
	logAndFlush(log, "The daemon stopped.")
	return 0
}
