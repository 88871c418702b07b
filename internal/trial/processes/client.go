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

// Response is the HTTP response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ReadErr is the error with which reading the body failed, or nil.
	ReadErr error
}

// Call sends a request to the callers' listener of the daemon, with the key of the
// test account.
func (d *Daemon) Call(method, path string, header map[string]string, body string, timeout time.Duration) (Response, error) {
	request, err := http.NewRequest(method, "http://"+d.CallersAddr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+APIKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: raw, ReadErr: err}, nil
}

// RunOperatorCommand runs the command bilberryrock, which operators use, against the
// daemon. It returns the output and the exit status.
func (d *Daemon) RunOperatorCommand(args ...string) (output string, exitStatus int, err error) {
	args = append([]string{"--server", "http://" + d.OperatorsAddr, "--tokenFile", d.fleet.Path("operator.token")}, args...)
	cmd := exec.Command(filepath.Join(d.fleet.bin, "bilberryrock"), args...)
	raw, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(raw), exit.ExitCode(), nil
	}
	return string(raw), 0, errors.Wrap(err, "run bilberryrock")
}

// JoinCompletionEvents returns the text of a streamed completion and whether the
// stream has its final [DONE] event.
func JoinCompletionEvents(raw []byte) (text string, done bool) {
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
			continue // event truncated by a broken stream
		}
		for _, choice := range event.Choices {
			b.WriteString(choice.Text)
		}
	}
	return b.String(), done
}
