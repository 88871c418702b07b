package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/entry/peer"
	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	dir, name   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, dir, name string) *authority {
	a := &authority{t: t, dir: dir, name: name}
	a.certificate, a.key = a.issue(name, nil)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name+".pem") }

// issuePair writes a certificate for the loopback address and its key, and returns the
// names of their files.
func (a *authority) issuePair(name string) (certificate, key string) {
	a.issue(name, a)
	return a.path(name), a.path(name + "-key")
}

// issue writes a certificate and its key. The certificate is signed by parent, or
// self-signed if parent is nil.
func (a *authority) issue(name string, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         parent == nil, BasicConstraintsValid: true,
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		a.t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name, "CERTIFICATE", raw)
	a.write(name+"-key", "EC PRIVATE KEY", rawKey)
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate, key
}

func (a *authority) write(name, kind string, raw []byte) {
	a.t.Helper()
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// startWithTLS starts a daemon with TLS for operators and peers.
func startWithTLS(t *testing.T, a *authority) settings.Settings {
	t.Helper()
	s := tlsSettings(t, a)
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// tlsSettings returns settings with TLS for operators and peers, parsed as from a file.
func tlsSettings(t *testing.T, a *authority) settings.Settings {
	t.Helper()
	f, err := processes.New("", a.dir)
	if err != nil {
		t.Fatal(err)
	}
	var l [6]string
	for i := range l {
		if l[i], err = f.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	certificate, key := a.issuePair("daemon")
	s, err := settings.Parse("a.ini", fmt.Appendf(nil, `[instance]
id = a
dataCentre = dc1
dataFolder = %s
votes = true
drainDelay = 0s

[listeners]
callers = %s
operators = %s
upstreams = %s
peers = %s
gossip = %s
platform = %s

[membership]
secretFile = %s

[quorum]
voters = 1@a@%s

[operators]
tokens = alpha:%s
certificate = %s
key = %s

[peers]
certificate = %s
key = %s
authority = %s
`, filepath.Join(a.dir, "data"), l[0], l[1], l[2], l[3], l[4], l[5], f.Path("gossip.secret"), l[3],
		processes.Digest(processes.Token), certificate, key, certificate, key, a.path(a.name)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestTLS guards against an operators' listener that serves plain HTTP or another
// certificate than the configured one, and against peers that accept a client without
// a certificate of their authority. It also guards against goroutines of a daemon that
// are still running after its stop.
func TestTLS(t *testing.T) {
	// Cleanups run in reverse order, so this one runs after the daemon has stopped.
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	ours := newAuthority(t, t.TempDir(), "ours")
	theirs := newAuthority(t, t.TempDir(), "theirs")
	s := startWithTLS(t, ours)
	t.Run("operators", func(t *testing.T) { checkOperators(t, s, ours, theirs) })
	t.Run("peers", func(t *testing.T) { checkPeers(t, s, ours, theirs) })
}

func checkOperators(t *testing.T, s settings.Settings, ours, theirs *authority) {
	is := is.New(t)
	code, err := getStatus(s, "https", ours)
	is.NoErr(err)
	is.Equal(code, http.StatusOK)
	_, err = getStatus(s, "https", theirs)
	is.True(err != nil) // that authority did not issue the certificate
	code, err = getStatus(s, "http", ours)
	is.NoErr(err)
	is.Equal(code, http.StatusBadRequest) // the response of net/http to plain HTTP on a TLS listener
}

// getStatus requests the status from the operators' listener, trusting only authority a.
// It returns the HTTP status code.
func getStatus(s settings.Settings, scheme string, a *authority) (int, error) {
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, scheme+"://"+s.Listeners.Operators+"/v1/status", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+processes.Token)
	client := &http.Client{Transport: transport, Timeout: testTimeout}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func checkPeers(t *testing.T, s settings.Settings, ours, theirs *authority) {
	// A client of the other authority that trusts the daemon's certificate.
	foreignCertificate, key := theirs.issuePair("stranger")
	for name, c := range map[string]struct {
		credentials func() (peer.Credentials, error)
		code        codes.Code
	}{
		"own authority": {func() (peer.Credentials, error) {
			certificate, key := ours.issuePair("peer")
			return peer.MutualTLS(certificate, key, ours.path(ours.name))
		}, codes.OK},
		"foreign certificate": {func() (peer.Credentials, error) {
			return peer.MutualTLS(foreignCertificate, key, ours.path(ours.name))
		}, codes.Unavailable},
		"foreign daemon": {func() (peer.Credentials, error) {
			certificate, key := ours.issuePair("wary")
			return peer.MutualTLS(certificate, key, theirs.path(theirs.name))
		}, codes.Unavailable},
		"plain": {func() (peer.Credentials, error) { return peer.Plaintext(), nil }, codes.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			credentials, err := c.credentials()
			is.NoErr(err)
			connections := peer.NewConnections(credentials)
			defer connections.Close()
			conn, err := connections.Get(s.Listeners.Peers)
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err = peerv1.NewPeerClient(conn).Explain(ctx, &peerv1.ExplainRequest{Id: "none"})
			is.Equal(status.Code(err), c.code)
		})
	}
}
