package output_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bilberryrock/bilberryrock/internal/report/output"
)

// TestOmitStackTraces guards against stack traces in the log, and against dropping the
// errors along with them.
func TestOmitStackTraces(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	log := zap.New(output.OmitStackTraces(core)).With(zap.NamedError("earlier", errors.New("first")))
	log.Info("A send failed.", zap.Int("runs", 1), zap.Error(errors.Wrap(errors.New("second"), "read")))
	log.Debug("This line is below the level.")
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap(), map[string]any{"earlier": "first", "runs": int64(1), "error": "read: second"})
}
