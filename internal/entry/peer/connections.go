package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// maxMessageBytes is the maximum size of a received message. The default of gRPC, 4 MiB,
// is too small for a complete document with the 42,000 client accounts that the design
// provides for.
const maxMessageBytes = 64 << 20

// Credentials holds the transport credentials for connections between daemons.
type Credentials struct {
	Server credentials.TransportCredentials
	Client credentials.TransportCredentials
}

// Plaintext returns credentials for plain TCP.
func Plaintext() Credentials {
	return Credentials{Server: insecure.NewCredentials(), Client: insecure.NewCredentials()}
}

// MutualTLS returns credentials for TLS in which both sides present a certificate that
// the authority issued. The arguments are names of PEM files.
func MutualTLS(certificate, key, authority string) (Credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, errors.Wrapf(err, "load certificate %q", certificate)
	}
	raw, err := os.ReadFile(authority)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "read certificates of authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return Credentials{}, errors.Errorf("%q holds no PEM certificate", authority)
	}
	server := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	client := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
	}
	return Credentials{Server: credentials.NewTLS(server), Client: credentials.NewTLS(client)}, nil
}

// Connections keeps one gRPC connection per address. It is safe for concurrent use.
type Connections struct {
	credentials Credentials
	mu          sync.Mutex
	open        map[string]*grpc.ClientConn
	closed      bool
}

// NewConnections returns Connections that has none open yet.
func NewConnections(s Credentials) *Connections {
	return &Connections{credentials: s, open: make(map[string]*grpc.ClientConn)}
}

// Get returns the connection to an IP address and port, and opens it if there is none.
// The connection belongs to c, callers must not close it.
func (c *Connections) Get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("connections are closed")
	}
	if conn, found := c.open[address]; found {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.credentials.Client),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c.open[address] = conn
	return conn, nil
}

// Close closes all connections.
func (c *Connections) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		// Close fails only if the connection is closed already.
		_ = conn.Close()
	}
}
