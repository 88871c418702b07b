package console

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
)

const (
	callTimeout = 30 * time.Second
	maxAnswer   = 64 << 20 // bytes
)

// call sends one request to the operators' API and decodes the answer into
// result. An answer with status accepted is decoded too, since an outcome is in
// the body of some errors.
func (o *options) call(method, path string, body, result any, accepted ...int) error {
	request, err := o.newRequest(method, path, body)
	if err != nil {
		return err
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return exit(ExitUnreachable, "%s can't be reached: %v", o.Server, err)
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return exit(ExitUnreachable, "the answer of %s was cut off: %v", o.Server, err)
	}
	if answer.StatusCode == http.StatusOK || slices.Contains(accepted, answer.StatusCode) && isResult(raw) {
		return errors.Wrap(json.Unmarshal(raw, result), "decode answer")
	}
	return failure(answer.StatusCode, raw)
}

// isResult tells an outcome from an error, which can have the same status.
func isResult(raw []byte) bool {
	var f operator.Failure
	return json.Unmarshal(raw, &f) == nil && f.Error.Code == ""
}

func failure(code int, raw []byte) error {
	var f operator.Failure
	if err := json.Unmarshal(raw, &f); err != nil || f.Error.Code == "" {
		return exit(ExitFailed, "unexpected answer with status %d", code)
	}
	text := f.Error.Code + ": " + f.Error.Message
	switch code {
	case http.StatusNotFound:
		return exit(ExitNotFound, "%s", text)
	case http.StatusUnauthorized, http.StatusForbidden:
		return exit(ExitForbidden, "%s", text)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return exit(ExitRefused, "%s", text)
	case http.StatusGatewayTimeout:
		return exit(ExitUnknown, "%s", text)
	}
	return exit(ExitFailed, "%s", text)
}

func (o *options) newRequest(method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, strings.TrimSuffix(o.Server, "/")+path, content)
	if err != nil {
		return nil, exit(ExitUsage, "--server: %v", err)
	}
	token, err := o.token()
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (o *options) token() (string, error) {
	if o.TokenFile == "" {
		return "", exit(ExitUsage, "--tokenFile is needed")
	}
	raw, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", exit(ExitUsage, "--tokenFile: %v", err)
	}
	return strings.TrimSpace(string(raw)), nil
}

func (o *options) newClient() (*http.Client, error) {
	client := &http.Client{Timeout: callTimeout}
	if o.Authority == "" {
		return client, nil
	}
	raw, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, exit(ExitUsage, "--authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, exit(ExitUsage, "--authority: %q holds no PEM certificate", o.Authority)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client, nil
}
