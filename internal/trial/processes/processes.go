// Package processes runs the real programs on loopback, for the demo and for
// end-to-end tests.
//
//	f, err := processes.New("bin", dir)
//	defer f.Close()
//	daemons, err := f.ConfigureDaemons(processes.DaemonSpec{ID: "a", DataCentre: "dc1", Voter: 1})
//	err = daemons[0].Start()
//	e, err := f.StartStandin("e1", "dc1", "--pool", "engines", ...)
//
// Every process is signalled and awaited by its own process id.
package processes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// Team is the only operator team of a Fleet, and Token is its token.
	Team  = "alpha"
	Token = "operator-token"
	// APIKey is the key of the client account that tests use.
	APIKey = "caller-key"

	// UpstreamToken is the token of upstreams.
	UpstreamToken = "upstream-token"
	gossipSecret  = "gossip-secret-of-a-trial"

	// firstPort and lastPort lie below the ephemeral port range of the kernel, so
	// that no outgoing connection can take a port before its listener opens.
	firstPort = 20000
	lastPort  = 32000
)

// Digest returns the SHA-256 of a secret in hexadecimal, the form in which settings
// and sections contain it.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Fleet is a set of daemon and stand-in processes. It is safe for concurrent use.
type Fleet struct {
	bin string
	dir string

	mu        sync.Mutex
	port      int
	daemons   []*Daemon
	standins  []*Standin
	processes []*Process
}

// New returns a Fleet that runs the programs in bin and writes its files to dir.
func New(bin, dir string) (*Fleet, error) {
	f := &Fleet{bin: bin, dir: dir, port: firstPort + os.Getpid()%(lastPort-firstPort)}
	for name, content := range map[string]string{
		"upstream.token": UpstreamToken,
		"gossip.secret":  gossipSecret,
		"operator.token": Token,
	} {
		if err := os.WriteFile(f.Path(name), []byte(content), 0o600); err != nil {
			return nil, errors.Wrap(err, "write secret")
		}
	}
	return f, nil
}

// Path returns the path of a file in the folder of the Fleet.
func (f *Fleet) Path(name string) string { return filepath.Join(f.dir, name) }

// FreeAddress returns a loopback address whose port is free for TCP and UDP. It goes
// through the ports in turn, so that no address is returned again before all others
// have been tried.
func (f *Fleet) FreeAddress() (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range lastPort - firstPort {
		f.port++
		if f.port >= lastPort {
			f.port = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", f.port)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port on loopback")
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// Process is a started program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

func (f *Fleet) start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(f.Path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &Process{Name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

func (p *Process) PID() int { return p.cmd.Process.Pid }

func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill kills the process, even if it is suspended, and waits for its exit.
func (p *Process) Kill() {
	// An error means that the process has already exited.
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop asks the process to stop gracefully and waits for its exit. An exit status
// other than 0 is an error.
func (p *Process) Stop(timeout time.Duration) error {
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "%s had already exited", p.Name)
	default:
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "stop %s", p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Close kills all processes that are still running.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// Logs returns the last maxBytes of the log of each process, for the output of a
// failed test.
func (f *Fleet) Logs(maxBytes int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	seen := make(map[string]bool)
	for _, p := range f.processes {
		if seen[p.Name] {
			continue
		}
		seen[p.Name] = true
		raw, _ := os.ReadFile(f.Path(p.Name + ".log"))
		fmt.Fprintf(&b, "--- %s\n%s\n", p.Name, raw[max(0, len(raw)-maxBytes):])
	}
	return b.String()
}
