package head_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// TestScanner guards against invalid heads that pass, valid ones that don't, and results
// that depend on how the bytes are split into reads. The input of "scan" has the escapes of
// Go, and line ends are written out. The output has the size of the head and the number of
// bytes after it, or the error.
func TestScanner(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			limit := 1000
			d.MaybeScanArgs(t, "limit", &limit)
			text, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.ReplaceAll(d.Input, `"`, `\"`), "\n", "") + `"`)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			whole := scan(text, len(text), limit)
			for split := 1; split < len(text); split++ {
				if parts := scan(text, split, limit); parts != whole {
					return fmt.Sprintf("%sin reads of %d bytes: %s", whole, split, parts)
				}
			}
			return whole
		})
	})
}

func scan(text string, split, limit int) string {
	s := head.Scanner{Limit: limit}
	s.Start()
	for from := 0; from < len(text); from += split {
		if err := s.Scan([]byte(text[from:min(from+split, len(text))])); err != nil {
			return err.Error() + "\n"
		}
	}
	bytes, lines := s.Size()
	if s.Active() {
		return fmt.Sprintf("incomplete after %d bytes in %d lines\n", bytes, lines)
	}
	return fmt.Sprintf("%d bytes in %d lines, %d more bytes\n", bytes, lines, len(text)-bytes)
}
