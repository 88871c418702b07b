package processes

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// Standin is a bilberryrock-standin process.
type Standin struct {
	*Process
	ID         string
	Address    string
	recordPath string
	args       []string
	fleet      *Fleet
}

// StartStandin starts a stand-in that announces itself to the daemons of its
// data centre. The args are appended to its command line.
func (f *Fleet) StartStandin(id, dataCentre string, args ...string) (*Standin, error) {
	address, err := f.FreeAddress()
	if err != nil {
		return nil, err
	}
	s := &Standin{ID: id, Address: address, recordPath: f.Path(id + ".record"), fleet: f}
	s.args = append([]string{
		"--id", id, "--listen", address, "--dataCentre", dataCentre,
		"--announce", f.announceURLs(dataCentre), "--token", UpstreamToken, "--record", s.recordPath,
	}, args...)
	f.standins = append(f.standins, s)
	return s, s.Start()
}

// Start starts the stand-in. It may be called again after the stand-in has exited.
func (s *Standin) Start() error {
	p, err := s.fleet.start(s.ID, "bilberryrock-standin", s.args...)
	if err != nil {
		return err
	}
	s.Process = p
	return nil
}

func (f *Fleet) announceURLs(dataCentre string) string {
	var list []string
	for _, d := range f.daemons {
		if d.Spec.DataCentre == dataCentre {
			list = append(list, "http://"+d.UpstreamsAddr)
		}
	}
	return strings.Join(list, ",")
}

// Runs returns the executions that the stand-in recorded, including those before a
// restart.
func (s *Standin) Runs() ([]standin.Run, error) {
	file, err := os.Open(s.recordPath)
	if err != nil {
		return nil, errors.Wrap(err, "open record")
	}
	defer file.Close()
	var runs []standin.Run
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r standin.Run
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			continue // line truncated when the process was killed
		}
		runs = append(runs, r)
	}
	return runs, errors.Wrap(lines.Err(), "read record")
}

// Runs returns the recorded executions of all stand-ins.
func (f *Fleet) Runs() ([]standin.Run, error) {
	var all []standin.Run
	for _, s := range f.standins {
		runs, err := s.Runs()
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}
