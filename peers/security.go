package peers

import (
	"crypto/tls"
	"slices"
)

// TLSMode determines whether connections between processes use TLS. A running
// deployment can be moved from off to require without downtime, one mode at a time
// and with a rolling replacement for each.
type TLSMode string

// Modes of TLS between processes.
const (
	// TLSOff dials and accepts connections without TLS only.
	TLSOff TLSMode = "off"
	// TLSAccept dials without TLS and accepts connections with and without it.
	TLSAccept TLSMode = "accept"
	// TLSPrefer dials with TLS and accepts connections with and without it.
	TLSPrefer TLSMode = "prefer"
	// TLSRequire dials and accepts connections with TLS only.
	TLSRequire TLSMode = "require"
)

// TLSModes lists the modes in the order in which a deployment adopts them.
var TLSModes = []string{string(TLSOff), string(TLSAccept), string(TLSPrefer), string(TLSRequire)}

// dialsTLS reports whether connections are dialed with TLS.
func (m TLSMode) dialsTLS() bool { return m == TLSPrefer || m == TLSRequire }

// acceptsTLS reports whether connections with TLS are accepted.
func (m TLSMode) acceptsTLS() bool {
	return slices.Contains([]TLSMode{TLSAccept, TLSPrefer, TLSRequire}, m)
}

// acceptsPlaintext reports whether connections without TLS are accepted.
func (m TLSMode) acceptsPlaintext() bool { return m != TLSRequire }

// TLSSource provides the TLS configuration of each new connection, so that rotated
// certificates are used from the next connection on.
type TLSSource interface {
	// ServerConfig returns the configuration for an accepted connection. If
	// requireClient is set, it requires a client certificate.
	ServerConfig(requireClient bool) *tls.Config
	// ClientConfig returns the configuration for a dialed connection.
	ClientConfig() *tls.Config
}

// Security configures how the processes of a deployment authenticate each other.
// The zero value accepts every call and uses no TLS.
type Security struct {
	// Key is the shared key sent with each call. If it is empty, calls from peers
	// are accepted whatever key they carry.
	Key string
	// FormerKeys are also accepted from peers, while the key is rotated.
	FormerKeys []string
	// Mode is the TLS mode. Empty means TLSOff.
	Mode TLSMode
	// TLS provides the certificates. It is required in all modes but TLSOff.
	TLS TLSSource
}
