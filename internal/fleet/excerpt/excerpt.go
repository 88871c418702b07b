// Package excerpt bounds the part of an input that errors and log lines quote. The
// errors of net/http, encoding/json and strconv quote the whole line, number or
// string that they could not read.
package excerpt

import "github.com/pkg/errors"

// Max is the greatest length of an excerpt in bytes. It is enough for the beginning
// of a line, and a log line stays short.
const Max = 200

// Text returns the beginning of a text.
func Text(s string) string {
	if len(s) > Max {
		return s[:Max] + "..."
	}
	return s
}

// Error returns err, or an error with the beginning of its text if that is long. The
// causes of the latter cannot be found.
func Error(err error) error {
	if err == nil || len(err.Error()) <= Max {
		return err
	}
	return errors.New(Text(err.Error()))
}
