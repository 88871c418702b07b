package main

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logBuffer and logFlush bound the lines that wait to be written. One write for
	// many lines costs less processor time than one for each.
	logBuffer = 64 << 10
	logFlush  = 500 * time.Millisecond
	// logBurst lines with the same message are written each second, and after them
	// one in logThin.
	logBurst = 100
	logThin  = 50
)

// newLog returns a logger to standard output, and a function that writes what is
// buffered.
func newLog(level string) (*zap.Logger, func(), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	out := &zapcore.BufferedWriteSyncer{WS: os.Stdout, Size: logBuffer, FlushInterval: logFlush}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, l)
	core = zapcore.NewSamplerWithOptions(core, time.Second, logBurst, logThin)
	return zap.New(core), func() { _ = out.Stop() }, nil
}

// milestone writes a line on the life of the process at once, with all that is
// buffered, since a process that ends abruptly loses its buffer.
func milestone(log *zap.Logger, message string, fields ...zap.Field) {
	log.Info(message, fields...)
	// Sync fails on a pipe or a terminal, after the buffer was written.
	_ = log.Sync()
}
