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
	// logFlushDelay is how long lines are buffered to be written together.
	logFlushDelay = 500 * time.Millisecond
	// Of the lines with the same message, the first logSampleFirst are written in each
	// second and then one in logSampleThereafter.
	logSampleFirst      = 100
	logSampleThereafter = 50
)

// newLogger returns a logger that writes to standard output. The caller must close the
// returned writer before it exits.
func newLogger(level string) (*zap.Logger, *output.Writer, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	out := output.New(os.Stdout, systemclock.Clock{}, output.WithDelay(logFlushDelay))
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := output.OmitStackTraces(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, l))
	core = zapcore.NewSamplerWithOptions(core, time.Second, logSampleFirst, logSampleThereafter)
	return zap.New(core), out, nil
}

// logAndFlush logs a lifecycle event of the process and triggers a flush of all
// buffered lines, since a process that ends abruptly loses its buffer.
func logAndFlush(log *zap.Logger, message string, fields ...zap.Field) {
	log.Info(message, fields...)
	_ = log.Sync() // only wakes the writer
}
