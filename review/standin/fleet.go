package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings that DEPLOY.md shows.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	grace     = 8 * time.Second
	catchUp   = 4 * time.Second
	recovery  = 12 * time.Second
	// settled is longer than the grace time and the time to catch up together: after it,
	// a machine that got SIGTERM and left for good has stopped counting in any case.
	settled = grace + catchUp + 2*time.Second
)

// Ports relative to the first one. They are the same on all machines.
const (
	internalPort = iota
	lastInternalPort
	frontPort
	readyPort
	controlPort
	workerPort
	portCount
)

// fleet is a small deployment: controllers, gateways and workers on loopback addresses.
type fleet struct {
	dir, binary string
	port        int
	network     string // first three bytes of the loopback addresses
	controllers []*machine
	gateways    []*machine
	record      *record
	stop        chan struct{}
	starts      chan func() // run by the thread that starts processes
	ended       sync.Once
	mu          sync.Mutex
	listed      []*machine // controllers in the operator's list, or nil for the first three
	wg          sync.WaitGroup
}

// machine is a loopback address with one process, which is restarted when it ends.
type machine struct {
	fleet            *fleet
	name, role, host string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started int
	gone    bool          // not restarted
	wipe    bool          // restarted with an empty data folder
	pause   time.Duration // before the restart
}

func newFleet(r *record, controllers, gateways int) (*fleet, error) {
	binary, err := filepath.Abs("target/bilberryrock-platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, record: r, stop: make(chan struct{}), starts: make(chan func())}
	go func() {
		// The kernel ends the processes together with the thread that started them.
		runtime.LockOSThread()
		for start := range f.starts {
			start()
		}
	}()
	f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	if err := f.pickPorts(controllers + gateways + 10); err != nil {
		return nil, err
	}
	for i := range controllers {
		f.controllers = append(f.controllers, &machine{fleet: f, name: fmt.Sprintf("core-%d", i+1), role: "controller", host: f.host(i)})
	}
	for i := range gateways {
		f.gateways = append(f.gateways, &machine{fleet: f, name: fmt.Sprintf("front-%d", i+1), role: "gateway", host: f.host(controllers + i)})
	}
	return f, nil
}

func (f *fleet) host(i int) string { return f.network + "." + strconv.Itoa(1+i) }

// workerAddress returns the address of the i-th worker.
func (f *fleet) workerAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.host(len(f.controllers)+len(f.gateways)+i), f.port+workerPort)
}

// pickPorts looks for ports that are free on all addresses.
func (f *fleet) pickPorts(hosts int) error {
	for range 50 {
		first := 21000 + rand.IntN(10000)
		free := true
		for i := 0; i < hosts && free; i++ {
			for k := 0; k < portCount && free; k++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.host(i), first+k))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			f.port = first
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.host, m.fleet.port+port) }

func (m *machine) settings(bootstrap bool) string {
	f := m.fleet
	var seeds []string
	for _, c := range f.seeds() {
		seeds = append(seeds, strconv.Quote(c.address(controlPort)))
	}
	class, serves, listen, data := "front", `["front"]`, fmt.Sprintf("front = %q\nready = %q", m.address(frontPort), m.address(readyPort)), ""
	limits := "cpu-share = 0.272\ncores = 1\nmemory-mb = 206\nmax-fds = 2940\nlink-mbps = 700.0\ndisk-mb = 0"
	if m.role == "controller" {
		class, serves, listen = "core", `["control"]`, fmt.Sprintf("control = %q", m.address(controlPort))
		data = fmt.Sprintf("data-dir = %q\n", filepath.Join(f.dir, m.name))
		limits = "cpu-share = 0.24\ncores = 1\nmemory-mb = 280\nmax-fds = 4096\nlink-mbps = 170.0\ndisk-mb = 128"
	}
	return fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = %s
ip = %q
zone = "mid-a"
region = "midlands"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = %t
tolerance-member = %t
%sdiscovery = "registration"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","layers"]
config-mode = "highest"
[zones]
mid-a = "midlands"
[listen]
%s
[limits]
%s
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-bound-ms = 5000
revoke-strict = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 424
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 2500
require-fencing = true
`, m.name, m.role, class, serves, m.host, f.port+internalPort, f.port+lastInternalPort,
		strings.Join(seeds, ","), bootstrap, m.role == "controller", data, listen, limits)
}

// seeds returns the controllers that a settings file names when it is written.
func (f *fleet) seeds() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed == nil {
		return f.controllers[:3]
	}
	return f.listed
}

// list sets the controllers that later settings files name.
func (f *fleet) list(ms ...*machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = ms
}

// launch starts the process and keeps it running: one that ends is started again.
func (m *machine) launch(bootstrap bool) error {
	if m.role == "controller" {
		if err := os.MkdirAll(filepath.Join(m.fleet.dir, m.name), 0o700); err != nil {
			return err
		}
	}
	if err := m.start(bootstrap); err != nil {
		return err
	}
	m.fleet.wg.Go(func() {
		for {
			m.mu.Lock()
			cmd, ended := m.cmd, m.ended
			m.mu.Unlock()
			err := cmd.Wait()
			close(ended)
			select {
			case <-m.fleet.stop:
				return
			default:
			}
			m.mu.Lock()
			gone, wipe, pause := m.gone, m.wipe, m.pause
			m.wipe, m.pause = false, 0
			m.mu.Unlock()
			m.fleet.record.note("%s ended: %v", m.name, err)
			if gone {
				return
			}
			if wipe {
				if err := m.clear(); err != nil {
					m.fleet.record.note("%s: the data folder could not be emptied: %v", m.name, err)
					return
				}
				m.fleet.record.note("%s lost its disk", m.name)
			}
			select {
			case <-m.fleet.stop:
				return
			case <-time.After(200*time.Millisecond + pause):
			}
			if err := m.start(false); err != nil {
				m.fleet.record.note("%s could not be started: %v", m.name, err)
				return
			}
		}
	})
	return nil
}

func (m *machine) start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	boot := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(boot, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(m.fleet.binary, m.role)
	m.cmd.Env = append(os.Environ(), "BILBERRYROCK_BOOT="+boot)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.ended = make(chan struct{})
	m.started++
	failed := make(chan error)
	m.fleet.starts <- func() { failed <- m.cmd.Start() }
	return <-failed
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

func (m *machine) starts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// clear empties the data folder.
func (m *machine) clear() error {
	dir := filepath.Join(m.fleet.dir, m.name)
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.MkdirAll(dir, 0o700)
}

// removeForGood sends SIGTERM, waits for the end of the process, with SIGKILL after the
// grace time, and doesn't start it again.
func (m *machine) removeForGood() {
	m.mu.Lock()
	m.gone = true
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-ended
	}
}

// kill sends SIGKILL. The process is started again after the pause, with an empty data
// folder if wipe is set.
func (m *machine) kill(pause time.Duration, wipe bool) {
	m.mu.Lock()
	m.pause, m.wipe = pause, wipe
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
}

// begin starts all processes but those of spare controllers.
func (f *fleet) begin(spare int) error {
	first := f.controllers[:len(f.controllers)-spare]
	for _, m := range append(append([]*machine(nil), first...), f.gateways...) {
		if err := m.launch(true); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes and removes the folder, unless KEEP is set.
func (f *fleet) end() { f.ended.Do(f.killAll) }

func (f *fleet) killAll() {
	close(f.stop)
	for _, m := range append(append([]*machine(nil), f.controllers...), f.gateways...) {
		m.mu.Lock()
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	f.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs in", f.dir)
}

var callClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// control calls the controllers one after the other until one answers with status 200 or
// 400, as the operator and the workers do.
func (f *fleet) control(method, path string, body any, limit time.Duration) (int, error) {
	status, _, err := f.call(method, path, body, limit)
	return status, err
}

func (f *fleet) call(method, path string, body any, limit time.Duration) (int, []byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range f.controllers {
			q, err := http.NewRequest(method, "http://"+c.address(controlPort)+path, bytes.NewReader(b))
			if err != nil {
				return 0, nil, err
			}
			q.Header.Set("Content-Type", "application/json")
			p, err := callClient.Do(q)
			if err != nil {
				last = err
				continue
			}
			content, _ := io.ReadAll(p.Body)
			_ = p.Body.Close()
			if p.StatusCode == http.StatusOK || p.StatusCode == http.StatusBadRequest {
				return p.StatusCode, content, nil
			}
			last = fmt.Errorf("status %d", p.StatusCode)
		}
	}
	return 0, nil, fmt.Errorf("%s %s: no answer: %v", method, path, last)
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			p, err := callClient.Get("http://" + g.address(readyPort) + "/ready")
			if err != nil {
				continue
			}
			_ = p.Body.Close()
			if p.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways did not become ready")
}
