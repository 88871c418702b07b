package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startStopTimeout limits the wait for the daemon to start and to stop.
const startStopTimeout = time.Minute

// TestClosedStandardError guards against a daemon that exits because the reader of
// its standard error has closed the pipe, so that writes to it raise SIGPIPE.
func TestClosedStandardError(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	binary := filepath.Join(folder, "bilberryrockd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	is.NoErr(os.WriteFile(filepath.Join(folder, "secret"), []byte("only-for-tests-0123456789"), 0o600))
	var ports [6]any
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		ports[i] = l.Addr().String()
		is.NoErr(l.Close())
	}
	configFile := filepath.Join(folder, "a.ini")
	is.NoErr(os.WriteFile(configFile, fmt.Appendf(nil, `[instance]
id = a
dataCentre = dc1
[listeners]
callers = %s
operators = %s
upstreams = %s
peers = %s
gossip = %s
platform = %s
[membership]
secretFile = secret
[quorum]
voters = 1@b@127.0.0.1:1
`, ports[:]...), 0o600))
	r, w, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(r.Close())
	daemon := exec.Command(binary, "--config", configFile)
	daemon.Dir, daemon.Stderr = folder, w
	is.NoErr(daemon.Start())
	defer func() { _ = daemon.Process.Kill() }()
	is.NoErr(w.Close())
	exited := make(chan error, 1)
	go func() { exited <- daemon.Wait() }()
	startTimeout := time.After(startStopTimeout)
	for {
		if response, err := http.Get(fmt.Sprintf("http://%s/live", ports[5])); err == nil {
			is.NoErr(response.Body.Close())
			break
		}
		select {
		case err := <-exited:
			t.Fatalf("the daemon exited: %v", err)
		case <-startTimeout:
			t.Fatalf("the daemon did not start within %s", startStopTimeout)
		case <-time.After(20 * time.Millisecond):
		}
	}
	for range 3 {
		is.NoErr(daemon.Process.Signal(syscall.SIGHUP))
	}
	is.NoErr(daemon.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		is.NoErr(err)
	case <-time.After(startStopTimeout):
		t.Fatalf("the daemon did not stop within %s", startStopTimeout)
	}
}
