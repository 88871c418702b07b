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

// maxMessage is the greatest message in bytes. The default of gRPC, 4 MiB, is less
// than a whole document with the 42,000 client accounts of the design page.
const maxMessage = 64 << 20

// Security holds the transport credentials between daemons.
type Security struct {
	Server credentials.TransportCredentials
	Client credentials.TransportCredentials
}

// Plain returns credentials for plain TCP.
func Plain() Security {
	return Security{Server: insecure.NewCredentials(), Client: insecure.NewCredentials()}
}

// Mutual returns credentials for TLS in which both sides show a certificate of
// the authority. The arguments are PEM files.
func Mutual(certificate, key, authority string) (Security, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Security{}, errors.Wrapf(err, "load certificate %q", certificate)
	}
	raw, err := os.ReadFile(authority)
	if err != nil {
		return Security{}, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return Security{}, errors.Errorf("%q holds no PEM certificate", authority)
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
	return Security{Server: credentials.NewTLS(server), Client: credentials.NewTLS(client)}, nil
}

// Connections keeps one connection for each address. It is safe for concurrent
// use.
type Connections struct {
	security Security
	mu       sync.Mutex
	open     map[string]*grpc.ClientConn
	closed   bool
}

// NewConnections returns Connections without any open one.
func NewConnections(s Security) *Connections {
	return &Connections{security: s, open: make(map[string]*grpc.ClientConn)}
}

// Get returns the connection to an IP address and port. It belongs to c.
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
		grpc.WithTransportCredentials(c.security.Client),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
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
		// Closing a connection twice is its only error.
		_ = conn.Close()
	}
}
