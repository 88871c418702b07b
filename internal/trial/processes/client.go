package processes

import (
	"bytes"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Reply is the answer to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Broken is the error that ended the body before its end, or nil.
	Broken error
}

// Call sends one request of a caller to the daemon.
func (d *Daemon) Call(method, path string, header map[string]string, body string, wait time.Duration) (Reply, error) {
	request, err := http.NewRequest(method, "http://"+d.Callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Reply{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+APIKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: wait}
	answer, err := client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return Reply{Status: answer.StatusCode, Header: answer.Header, Body: raw, Broken: err}, nil
}

// Operator runs the operators' command against the daemon and returns its
// output and exit status.
func (d *Daemon) Operator(args ...string) (output string, status int, err error) {
	args = append([]string{"--server", "http://" + d.Operators, "--tokenFile", d.fleet.Path("operator.token")}, args...)
	cmd := exec.Command(filepath.Join(d.fleet.bin, "bilberryrock"), args...)
	raw, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(raw), exit.ExitCode(), nil
	}
	return string(raw), 0, errors.Wrap(err, "run bilberryrock")
}
