package failure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// logLine holds the fields of a log line that concern the active configuration.
type logLine struct {
	Message  string         `json:"msg"`
	Revision fleet.Revision `json:"revision"`
}

// checkReadyRevisions reports each time a daemon became ready with an older revision
// than one that was active before, across its restarts. It reads the log because
// watchRevisions, which polls the status several times a second, can miss a revision
// that is active for a shorter time.
func (r *Run) checkReadyRevisions(name string) ([]string, error) {
	file, err := os.Open(r.fleet.Path(name + ".log"))
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	var violations []string
	var highest fleet.Revision
	ready := false
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue // not written by the logger
		}
		switch l.Message {
		case "Configuration in force.":
		case "Daemon started.":
			ready = false
		case "Daemon ready.":
			ready = true
			if l.Revision < highest {
				violations = append(violations, fmt.Sprintf("daemon %s became ready with revision %d after revision %d had been active", name, l.Revision, highest))
			}
		default:
			continue
		}
		if ready {
			highest = max(highest, l.Revision)
		}
	}
	return violations, errors.Wrap(lines.Err(), "read log")
}
