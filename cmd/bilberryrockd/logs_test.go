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

// stopLimit bounds the waits for a start or a stop.
const stopLimit = time.Minute

// TestLogReaderIsGone guards against a daemon that ends because nobody has its
// standard error open any more.
func TestLogReaderIsGone(t *testing.T) {
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
	file := filepath.Join(folder, "a.ini")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, `[instance]
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
	c := exec.Command(binary, "--config", file)
	c.Dir, c.Stderr = folder, w
	is.NoErr(c.Start())
	defer func() { _ = c.Process.Kill() }()
	is.NoErr(w.Close())
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	await := time.After(stopLimit)
	for {
		if p, err := http.Get(fmt.Sprintf("http://%s/live", ports[5])); err == nil {
			is.NoErr(p.Body.Close())
			break
		}
		select {
		case err := <-ended:
			t.Fatalf("the daemon ended: %v", err)
		case <-await:
			t.Fatalf("the daemon did not start within %s", stopLimit)
		case <-time.After(20 * time.Millisecond):
		}
	}
	for range 3 {
		is.NoErr(c.Process.Signal(syscall.SIGHUP))
	}
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(stopLimit):
		t.Fatalf("the daemon did not stop within %s", stopLimit)
	}
}
