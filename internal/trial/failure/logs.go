package failure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// logLine holds the fields of a line that tell of the configuration in force.
type logLine struct {
	Message  string         `json:"msg"`
	Revision fleet.Revision `json:"revision"`
}

// checkReadyRevisions finds a daemon that got ready with an older revision than it had in
// force before, over all its starts. The status, which is asked several times a
// second, can miss a revision that is in force for a shorter time.
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
			continue // not a line of the logger
		}
		switch l.Message {
		case "Configuration in force.":
		case "Daemon started.":
			ready = false
		case "Daemon ready.":
			ready = true
			if l.Revision < highest {
				violations = append(violations, fmt.Sprintf("daemon %s got ready with revision %d after %d", name, l.Revision, highest))
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
