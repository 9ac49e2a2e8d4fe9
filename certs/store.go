package certs

import (
	"context"
	"crypto/tls"
	"expvar"
	"sync/atomic"
	"time"
)

// ReloadInterval is how often the directory is checked for changes.
const ReloadInterval = 2 * time.Second

// Open retries inconsistent files, which may be in the middle of a replacement.
const (
	openAttempts   = 5
	openRetryDelay = 100 * time.Millisecond
)

// expiryWarningFraction is the remaining fraction of a certificate's validity
// period at which operators are warned.
const expiryWarningFraction = 0.1

var (
	reloads        = expvar.NewInt("certs_reloaded")
	reloadFailures = expvar.NewInt("certs_reload_failures")
	notAfter       = expvar.NewInt("certs_not_after_unix_seconds")
)

// Event reports a change or a problem of the certificates to operators.
type Event struct {
	// Text describes the event in one short sentence.
	Text string
	// Err is the reason why new files were not applied, nil for other events.
	Err error
	// Alarm is set if the event needs an operator's attention.
	Alarm bool
}

// Store holds the active material. It is safe for concurrent use, but only one
// goroutine at a time may call Run or Reload.
type Store struct {
	dir     string
	now     func() time.Time
	current atomic.Pointer[Material]
	// lastFailure and warnedNotAfter suppress repeated events: they are the last
	// error reported and the expiry time of the last certificate warned about.
	lastFailure    string
	warnedNotAfter time.Time
}

// Open loads the files in dir. It retries for a short time in case they are being
// replaced, and then returns the last error.
func Open(dir string, now func() time.Time) (*Store, error) {
	material, err := Load(dir, now())
	for attempt := 1; err != nil && attempt < openAttempts; attempt++ {
		time.Sleep(openRetryDelay)
		material, err = Load(dir, now())
	}
	if err != nil {
		return nil, err
	}
	store := &Store{dir: dir, now: now}
	store.activate(material)
	return store, nil
}

func (s *Store) activate(material *Material) {
	s.current.Store(material)
	notAfter.Set(material.NotAfter.Unix())
}

// Material returns the active material.
func (s *Store) Material() *Material { return s.current.Load() }

// Run reloads the directory every ReloadInterval until ctx is done and passes the
// events to observe.
func (s *Store) Run(ctx context.Context, observe func(Event)) error {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, event := range s.Reload() {
				observe(event)
			}
		}
	}
}

// Reload loads the directory and activates the files if they have changed and are
// consistent. It returns the events to report.
func (s *Store) Reload() []Event {
	material, err := Load(s.dir, s.now())
	if err != nil {
		return append(s.failureEvents(err), s.expiryEvents()...)
	}
	s.lastFailure = ""
	if material.digest == s.Material().digest {
		return s.expiryEvents()
	}
	s.activate(material)
	reloads.Add(1)
	return append([]Event{{Text: "New certificates are in use."}}, s.expiryEvents()...)
}

// failureEvents reports a failed reload, but not the same error twice in a row.
func (s *Store) failureEvents(err error) []Event {
	reloadFailures.Add(1)
	if err.Error() == s.lastFailure {
		return nil
	}
	s.lastFailure = err.Error()
	return []Event{{Text: "The certificate files are not valid; the previous certificates stay in use.", Err: err, Alarm: true}}
}

// expiryEvents warns once about each certificate that expires soon.
func (s *Store) expiryEvents() []Event {
	material := s.Material()
	validity := material.NotAfter.Sub(material.NotBefore)
	remaining := material.NotAfter.Sub(s.now())
	if float64(remaining) > expiryWarningFraction*float64(validity) || s.warnedNotAfter.Equal(material.NotAfter) {
		return nil
	}
	s.warnedNotAfter = material.NotAfter
	return []Event{{Text: "The certificate expires at " + material.NotAfter.UTC().Format(time.RFC3339) + ".", Alarm: true}}
}

// ServerConfig returns the TLS configuration for an accepted connection. If
// requireClient is set, clients must present a certificate signed by one of the
// authorities.
func (s *Store) ServerConfig(requireClient bool) *tls.Config {
	material := s.Material()
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{material.Certificate}}
	if requireClient {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = material.Authorities
	}
	return config
}

// ClientConfig returns the TLS configuration for a dialed connection. The server
// must present a certificate for the dialed IP address that one of the authorities
// signed.
func (s *Store) ClientConfig() *tls.Config {
	material := s.Material()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{material.Certificate}, RootCAs: material.Authorities,
	}
}

// ListenerConfig returns a TLS configuration for a listener that serves HTTP/1.1.
// Each connection uses the material that is active at its handshake, so it
// follows the rotation.
func (s *Store) ListenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := s.ServerConfig(false)
			config.NextProtos = []string{"http/1.1"}
			return config, nil
		},
	}
}
