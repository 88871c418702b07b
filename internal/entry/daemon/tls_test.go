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

// authority signs certificates for a test.
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

// pair writes a certificate for loopback and its key, and returns their files.
func (a *authority) pair(name string) (certificate, key string) {
	a.issue(name, a)
	return a.path(name), a.path(name + "-key")
}

// issue writes a certificate that parent signs, or that signs itself.
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

// startSecure starts a daemon with TLS for operators and peers.
func startSecure(t *testing.T, a *authority) settings.Settings {
	t.Helper()
	s := secureSettings(t, a)
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

// secureSettings returns settings with TLS for operators and peers, as from a file.
func secureSettings(t *testing.T, a *authority) settings.Settings {
	t.Helper()
	f, err := processes.New("", a.dir)
	if err != nil {
		t.Fatal(err)
	}
	var l [6]string
	for i := range l {
		if l[i], err = f.Address(); err != nil {
			t.Fatal(err)
		}
	}
	certificate, key := a.pair("daemon")
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
// certificate than that of its settings, and against peers that let in whoever
// has no certificate of their authority. It also guards against a goroutine of a
// daemon that outlives its stop.
func TestTLS(t *testing.T) {
	// Cleanups run in reverse order, so this one runs after the daemon's stop.
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	ours := newAuthority(t, t.TempDir(), "ours")
	theirs := newAuthority(t, t.TempDir(), "theirs")
	s := startSecure(t, ours)
	t.Run("operators", func(t *testing.T) { checkOperators(t, s, ours, theirs) })
	t.Run("peers", func(t *testing.T) { checkPeers(t, s, ours, theirs) })
}

func checkOperators(t *testing.T, s settings.Settings, ours, theirs *authority) {
	is := is.New(t)
	code, err := askStatus(s, "https", ours)
	is.NoErr(err)
	is.Equal(code, http.StatusOK)
	_, err = askStatus(s, "https", theirs)
	is.True(err != nil) // the certificate is not one of that authority
	code, err = askStatus(s, "http", ours)
	is.NoErr(err)
	is.Equal(code, http.StatusBadRequest) // net/http answers plain HTTP so
}

// askStatus asks the operators' listener for its status, trusting one authority.
func askStatus(s settings.Settings, scheme string, a *authority) (int, error) {
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, scheme+"://"+s.Listeners.Operators+"/v1/status", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+processes.Token)
	client := &http.Client{Transport: transport, Timeout: hung}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

func checkPeers(t *testing.T, s settings.Settings, ours, theirs *authority) {
	// A client of the other authority that trusts the daemon's certificate.
	mixed, key := theirs.pair("stranger")
	for name, c := range map[string]struct {
		security func() (peer.Security, error)
		code     codes.Code
	}{
		"own authority": {func() (peer.Security, error) {
			certificate, key := ours.pair("peer")
			return peer.Mutual(certificate, key, ours.path(ours.name))
		}, codes.OK},
		"foreign certificate": {func() (peer.Security, error) {
			return peer.Mutual(mixed, key, ours.path(ours.name))
		}, codes.Unavailable},
		"foreign daemon": {func() (peer.Security, error) {
			certificate, key := ours.pair("wary")
			return peer.Mutual(certificate, key, theirs.path(theirs.name))
		}, codes.Unavailable},
		"plain": {func() (peer.Security, error) { return peer.Plain(), nil }, codes.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			security, err := c.security()
			is.NoErr(err)
			connections := peer.NewConnections(security)
			defer connections.Close()
			conn, err := connections.Get(s.Listeners.Peers)
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), hung)
			defer cancel()
			_, err = peerv1.NewPeerClient(conn).Explain(ctx, &peerv1.ExplainRequest{Id: "none"})
			is.Equal(status.Code(err), c.code)
		})
	}
}
