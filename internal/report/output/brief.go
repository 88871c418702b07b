package output

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Brief returns a core that writes errors without the stack traces that
// github.com/pkg/errors adds to them. They fill most of a line and name source files,
// which tell operators nothing.
func Brief(c zapcore.Core) zapcore.Core { return brief{c} }

type brief struct{ zapcore.Core }

// With implements zapcore.Core.
func (b brief) With(fields []zapcore.Field) zapcore.Core { return brief{b.Core.With(shorten(fields))} }

// Check implements zapcore.Core.
func (b brief) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.Enabled(e.Level) {
		return c.AddCore(e, b)
	}
	return c
}

// Write implements zapcore.Core.
func (b brief) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return b.Core.Write(e, shorten(fields))
}

// shorten returns fields with the text of each error in its place.
func shorten(fields []zapcore.Field) []zapcore.Field {
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
