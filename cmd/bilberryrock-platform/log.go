package main

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
)

const (
	// logDelay is how long lines wait to be written together.
	logDelay = 500 * time.Millisecond
	// logBurst lines with the same message are written each second, and after them
	// one in logThin.
	logBurst = 100
	logThin  = 50
)

// newLog returns a logger to standard output. Its output is to be closed at the end.
func newLog(level string) (*zap.Logger, *output.Writer, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	out := output.New(os.Stdout, systemclock.Clock{}, output.WithDelay(logDelay))
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := output.OmitStackTraces(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, l))
	core = zapcore.NewSamplerWithOptions(core, time.Second, logBurst, logThin)
	return zap.New(core), out, nil
}

// milestone writes a line on the life of the process at once, with all that is
// buffered, since a process that ends abruptly loses its buffer.
func milestone(log *zap.Logger, message string, fields ...zap.Field) {
	log.Info(message, fields...)
	_ = log.Sync() // which only wakes the output
}
