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
	callTimeout      = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// call sends one request to the operators' API and decodes the response into
// result. Responses with one of resultStatuses are decoded too unless they hold an
// error, because some outcomes are sent with an error status.
func (o *options) call(method, path string, body, result any, resultStatuses ...int) error {
	request, err := o.newRequest(method, path, body)
	if err != nil {
		return err
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return exitErrorf(ExitUnreachable, "%s can't be reached: %v", o.Server, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return exitErrorf(ExitUnreachable, "the response of %s was truncated: %v", o.Server, err)
	}
	if response.StatusCode == http.StatusOK || slices.Contains(resultStatuses, response.StatusCode) && isResult(raw) {
		return errors.Wrap(json.Unmarshal(raw, result), "decode response")
	}
	return responseError(response.StatusCode, raw)
}

// isResult reports whether raw is an outcome and not an error, which can have the
// same status.
func isResult(raw []byte) bool {
	var f operator.ErrorResponse
	return json.Unmarshal(raw, &f) == nil && f.Error.Code == ""
}

// responseError converts an error response to an error with the matching exit
// status.
func responseError(code int, raw []byte) error {
	var f operator.ErrorResponse
	if err := json.Unmarshal(raw, &f); err != nil || f.Error.Code == "" {
		return exitErrorf(ExitFailed, "unexpected response with status %d", code)
	}
	text := f.Error.Code + ": " + f.Error.Message
	switch code {
	case http.StatusNotFound:
		return exitErrorf(ExitNotFound, "%s", text)
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitErrorf(ExitForbidden, "%s", text)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return exitErrorf(ExitRefused, "%s", text)
	case http.StatusGatewayTimeout:
		return exitErrorf(ExitUnknown, "%s", text)
	}
	return exitErrorf(ExitFailed, "%s", text)
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
		return nil, exitErrorf(ExitUsage, "--server: %v", err)
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
		return "", exitErrorf(ExitUsage, "--tokenFile is needed")
	}
	raw, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", exitErrorf(ExitUsage, "--tokenFile: %v", err)
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
		return nil, exitErrorf(ExitUsage, "--authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, exitErrorf(ExitUsage, "--authority: %q holds no PEM certificate", o.Authority)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client, nil
}
