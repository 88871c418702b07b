package processes

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
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

// JoinEvents joins the text of a streamed completion and tells whether its end
// was seen.
func JoinEvents(raw []byte) (text string, done bool) {
	var b strings.Builder
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal(data, &event) != nil {
			continue // half an event of a broken stream
		}
		for _, choice := range event.Choices {
			b.WriteString(choice.Text)
		}
	}
	return b.String(), done
}
