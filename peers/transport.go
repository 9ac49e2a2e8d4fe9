package peers

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// tlsHandshakeByte is the first byte of every TLS connection (RFC 8446, 5.1).
const tlsHandshakeByte = 0x16

// errPlaintext rejects a connection without TLS in the mode TLSRequire.
var errPlaintext = errors.New("peers: connection without TLS rejected: TLS is required")

var plaintextRejected = expvar.NewInt("peers_plain_refused")

var _ credentials.TransportCredentials = (*transport)(nil)

// transport implements the TLS mode of connections. Each handshake uses the
// certificates that are active at that time.
type transport struct {
	mode      TLSMode
	source    TLSSource
	plaintext credentials.TransportCredentials
}

// newTransport returns the transport credentials for security.
func newTransport(security Security) credentials.TransportCredentials {
	if security.TLS == nil || !security.Mode.acceptsTLS() {
		return insecure.NewCredentials()
	}
	return &transport{mode: security.Mode, source: security.TLS, plaintext: insecure.NewCredentials()}
}

// ClientHandshake implements credentials.TransportCredentials.
func (t *transport) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if !t.mode.dialsTLS() {
		return t.plaintext.ClientHandshake(ctx, authority, conn)
	}
	return credentials.NewTLS(t.source.ClientConfig()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials. It recognizes a TLS
// connection by its first byte.
func (t *transport) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	peeked := &peekedConn{Conn: conn, reader: bufio.NewReader(conn)}
	first, err := peeked.reader.Peek(1)
	if err != nil {
		return nil, nil, err
	}
	if first[0] == tlsHandshakeByte {
		return credentials.NewTLS(t.source.ServerConfig(true)).ServerHandshake(peeked)
	}
	if !t.mode.acceptsPlaintext() {
		plaintextRejected.Add(1)
		return nil, nil, errPlaintext
	}
	return t.plaintext.ServerHandshake(peeked)
}

// Info implements credentials.TransportCredentials.
func (t *transport) Info() credentials.ProtocolInfo {
	if !t.mode.dialsTLS() {
		return t.plaintext.Info()
	}
	return credentials.NewTLS(t.source.ClientConfig()).Info()
}

// Clone implements credentials.TransportCredentials.
func (t *transport) Clone() credentials.TransportCredentials {
	clone := *t
	return &clone
}

// OverrideServerName implements credentials.TransportCredentials. It does nothing:
// the server name is always the dialed address.
func (t *transport) OverrideServerName(string) error { return nil }

// peekedConn is a connection that reads through a buffer, so that the handshake can
// peek at the first byte.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(into []byte) (int, error) { return c.reader.Read(into) }
