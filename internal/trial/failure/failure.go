// Package failure runs the real programs through scripts that inject failures, and
// checks the invariants of the fleet.
//
// A script has one command a line:
//
//	traffic 300 16        start 300 calls in the background, at most 16 at once
//	await                 wait until the traffic has finished
//	calm 100 8            the same as traffic followed by await
//	kill c                kill a daemon or a stand-in
//	start c               start it again
//	freeze b / thaw b     suspend (SIGSTOP) and resume (SIGCONT) a process
//	hangup a              send SIGHUP
//	wipe c                remove the data folder of a killed daemon
//	repaired c            wait until a successor with the new data folder of c is a
//	                      full voter in all groups
//	leave engine-1        stop a stand-in gracefully
//	stop a                stop a daemon gracefully; it must exit with status 0
//	terminate a           send SIGTERM, without waiting for the exit
//	cut a,b c             drop all messages from a and b to c
//	heal                  stop dropping messages
//	submit a, submit c    submit a new section through a daemon
//	race a b              submit two sections with the same base revision at once
//	fault desk-1 {json}   replace the injected faults of a stand-in
//	window dc1 2 16       submit a quiet-hours window of one minute that limits dc1 to
//	                      2 requests in flight, and keep 16 calls in progress until
//	                      after its end
//	sleep 2s              wait for the given time
//
// After the script, the checks of package traffic run over all calls. In a script
// without kill and freeze, no call may be aborted.
package failure

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/trial/traffic"
)

// waitTimeout limits each wait for a condition. It is long so that a test does not
// fail because the machine is busy.
const waitTimeout = 60 * time.Second

// Size is the number of data centres, and of the daemons and stand-ins that are
// distributed over them.
type Size struct {
	DataCentres, Daemons, Engines, Services int
}

// Voters is the number of daemons with durable state.
const Voters = 3

// Run is one execution of a script against a new fleet.
type Run struct {
	fleet       *processes.Fleet
	daemons     map[string]*processes.Daemon
	standins    map[string]*processes.Standin
	daemonNames []string
	traffic     *traffic.Generator
	trafficWG   sync.WaitGroup

	mu           sync.Mutex
	droppedLinks map[string]map[string]bool // by sender and receiver
	violations   []string
	// baseRevision is the revision that the last accepted submission created.
	baseRevision    fleet.Revision
	submissionCount int

	watchOnce  sync.Once
	watchersWG sync.WaitGroup
	closed     chan struct{}
	// disrupted is set once a process was killed or suspended, after which calls
	// may be aborted.
	disrupted bool
	window    *quietWindow
	peakLoad  peakLoad
	revisions map[string]fleet.Revision
}

// Start starts daemons and stand-ins and submits the first section. The daemons
// are named a, b, c and so on, and are assigned to the data centres in turn. The
// stand-ins are named engine-1, engine-2 and so on, and desk-1, desk-2 and so on.
// The first Voters daemons are voters.
func Start(bin, dir string, size Size, seed uint64) (*Run, error) {
	f, err := processes.New(bin, dir)
	if err != nil {
		return nil, err
	}
	r := &Run{
		fleet:        f,
		daemons:      make(map[string]*processes.Daemon),
		standins:     make(map[string]*processes.Standin),
		droppedLinks: make(map[string]map[string]bool),
		closed:       make(chan struct{}),
		revisions:    make(map[string]fleet.Revision),
	}
	for _, step := range []func(Size) error{r.startDaemons, r.startStandins, r.submitFirstSection} {
		if err := step(size); err != nil {
			r.Close()
			return nil, errors.Wrap(err, f.Logs(1500))
		}
	}
	r.traffic = traffic.New(r.Daemons(), seed)
	return r, nil
}

// Close stops the watchers and kills all processes.
func (r *Run) Close() {
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	r.watchersWG.Wait()
	r.fleet.Close()
}

// Daemons returns the daemons in the order of their names.
func (r *Run) Daemons() []*processes.Daemon {
	var list []*processes.Daemon
	for _, name := range r.daemonNames {
		list = append(list, r.daemons[name])
	}
	return list
}

// Logs returns the last part of the log of each process.
func (r *Run) Logs() string { return r.fleet.Logs(3000) }

// Execute runs one line of a script. The first command also starts a goroutine that
// watches the revisions of all daemons.
func (r *Run) Execute(line string) error {
	fields := strings.Fields(line)
	if len(fields) == 0 || strings.HasPrefix(line, "#") {
		return nil
	}
	r.watchOnce.Do(func() { r.watchersWG.Go(r.watchRevisions) })
	command, args := fields[0], fields[1:]
	switch command {
	case "traffic", "calm":
		return r.startTraffic(command == "calm", args)
	case "await":
		r.trafficWG.Wait()
		return nil
	case "sleep":
		d, err := time.ParseDuration(args[0])
		time.Sleep(d)
		return err
	case "cut":
		return r.dropMessages(strings.Split(args[0], ","), strings.Split(args[1], ","))
	case "heal":
		return r.restoreLinks()
	case "submit":
		return r.submitUntil(args[0], waitTimeout)
	case "race":
		return r.raceSubmissions(args[0], args[1])
	case "window":
		return r.startQuietWindow(args[0], args[1], args[2])
	case "fault":
		return r.setStandinFaults(args[0], strings.Join(args[1:], " "))
	case "repaired":
		return r.awaitReplacement(args[0])
	case "wipe":
		return os.RemoveAll(r.daemons[args[0]].DataFolder())
	}
	return r.signal(command, args[0])
}

func (r *Run) startTraffic(wait bool, args []string) error {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return errors.Wrap(err, "parse number of calls")
	}
	parallel, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Wrap(err, "parse number of concurrent calls")
	}
	r.trafficWG.Go(func() { r.traffic.Send(count, parallel) })
	if wait {
		r.trafficWG.Wait()
	}
	return nil
}

func (r *Run) process(name string) (p *processes.Process, start func() error, err error) {
	if d := r.daemons[name]; d != nil {
		return d.Process, d.Start, nil
	}
	if s := r.standins[name]; s != nil {
		return s.Process, s.Start, nil
	}
	return nil, nil, errors.Errorf("no daemon or stand-in is named %q", name)
}

func (r *Run) signal(command, name string) error {
	p, start, err := r.process(name)
	if err != nil {
		return err
	}
	switch command {
	case "kill":
		r.disrupted = true
		p.Kill()
		return nil
	case "start":
		return start()
	case "freeze":
		r.disrupted = true
		return p.Signal(syscall.SIGSTOP)
	case "thaw":
		return p.Signal(syscall.SIGCONT)
	case "hangup":
		return p.Signal(syscall.SIGHUP)
	case "terminate": // unlike stop, does not wait for the exit
		return p.Signal(syscall.SIGTERM)
	case "leave", "stop":
		return p.Stop(waitTimeout)
	}
	return errors.Errorf("unknown command %q", command)
}

// Violations waits until the traffic has finished and returns a line for every
// violation of an invariant.
func (r *Run) Violations() ([]string, error) {
	r.trafficWG.Wait()
	runs, err := r.fleet.Runs()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := append([]string(nil), r.violations...)
	for _, name := range r.daemonNames {
		found, err := r.checkReadyRevisions(name)
		if err != nil {
			return nil, err
		}
		violations = append(violations, found...)
	}
	if !r.disrupted {
		violations = append(violations, traffic.CheckAborted(r.traffic.Calls())...)
	}
	return append(violations, traffic.Check(r.traffic.Calls(), runs)...), nil
}

// Summary returns the number of calls by kind and outcome.
func (r *Run) Summary() string { return traffic.Summary(r.traffic.Calls()) }
