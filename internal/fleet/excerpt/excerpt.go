// Package excerpt limits how much of an input is quoted in errors and log lines. The
// errors of net/http, encoding/json and strconv quote the whole line, number or string
// that they could not parse.
package excerpt

import "github.com/pkg/errors"

// MaxBytes is the maximum length of an excerpt in bytes. It is enough for the beginning
// of a line and keeps log lines short.
const MaxBytes = 200

// Text returns s, or its first MaxBytes bytes followed by "..." if s is longer.
func Text(s string) string {
	if len(s) > MaxBytes {
		return s[:MaxBytes] + "..."
	}
	return s
}

// Error returns err, or a new error with the beginning of its text if the text is longer
// than MaxBytes. The new error does not wrap err, so its causes cannot be found.
func Error(err error) error {
	if err == nil || len(err.Error()) <= MaxBytes {
		return err
	}
	return errors.New(Text(err.Error()))
}
