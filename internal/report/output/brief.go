package output

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// OmitStackTraces returns a core that writes errors without the stack traces that
// github.com/pkg/errors adds to them. The traces fill most of a line and name source
// files, which is of no use to operators.
func OmitStackTraces(c zapcore.Core) zapcore.Core { return stacklessCore{c} }

type stacklessCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (b stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{b.Core.With(errorsAsText(fields))}
}

// Check implements zapcore.Core.
func (b stacklessCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.Enabled(e.Level) {
		return c.AddCore(e, b)
	}
	return c
}

// Write implements zapcore.Core.
func (b stacklessCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return b.Core.Write(e, errorsAsText(fields))
}

// errorsAsText returns fields with each error replaced by its text.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	copied := false
	for i, f := range fields {
		err, ok := f.Interface.(error)
		if f.Type != zapcore.ErrorType || !ok {
			continue
		}
		if !copied {
			fields, copied = append([]zapcore.Field(nil), fields...), true
		}
		fields[i] = zap.String(f.Key, err.Error())
	}
	return fields
}
