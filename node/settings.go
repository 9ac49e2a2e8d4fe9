package node

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/settings"
)

// Settings are the settings that all processes have in common.
type Settings struct {
	VM            string
	Zone          string
	Region        string
	PeerListen    string
	PeerAdvertise string
	Seeds         string
	PeerKey       string
	FormerKeys    string
	PeerTLS       string
	TLSDir        string
	PlatformURL   string
	LogFormat     string
	LogLevel      string
	StopTimeout   time.Duration
}

// Default and range of the stop timeout.
const (
	defaultStopTimeout = 30 * time.Second
	minStopTimeout     = time.Second
	maxStopTimeout     = 10 * time.Minute
)

// Add declares the settings in set.
func (s *Settings) Add(set *settings.Set) {
	set.Text(&s.VM, "vm", "", "ID of this VM in the platform's list", true)
	set.Text(&s.Zone, "zone", "", "availability zone of this VM", true)
	set.Text(&s.Region, "region", "", "region of this VM", true)
	set.Addr(&s.PeerListen, "peer-listen", "", "IP number and port for other processes of the system", true)
	set.Addr(&s.PeerAdvertise, "peer-advertise", "", "IP number and port that other processes dial; empty for -peer-listen", false)
	set.Text(&s.Seeds, "seeds", "", "peer addresses of entries to ask before a VM list is known, separated by commas", false)
	set.Secret(&s.PeerKey, "peer-key", "key that all processes of the deployment share; empty for none", peers.MinKeyBytes, false)
	set.Secret(&s.FormerKeys, "peer-keys-former", "keys that are taken from others besides -peer-key while it is rotated, separated by commas", peers.MinKeyBytes, false)
	set.OneOf(&s.PeerTLS, "peer-tls", string(peers.TLSOff), peers.TLSModes, "TLS between processes, to be raised one step at a time")
	set.Text(&s.TLSDir, "tls-dir", "", "directory with cert.pem, key.pem and ca.pem, read again when they change; empty for none", false)
	set.URL(&s.PlatformURL, "platform-url", "", "URL of the platform", true)
	set.OneOf(&s.LogFormat, "log-format", "text", logging.Formats, "format of the log")
	set.OneOf(&s.LogLevel, "log-level", "info", logging.Levels, "least level that is logged")
	set.Duration(&s.StopTimeout, "stop-timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout, "time for a graceful shutdown")
}

// Identity returns the identity of a process with the given role that started at
// start. It returns an error if seeds, peer keys or certificates are invalid.
func (s *Settings) Identity(role core.Role, start time.Time) (Identity, error) {
	seeds, err := parseSeeds(s.Seeds)
	if err != nil {
		return Identity{}, err
	}
	store, security, err := s.security()
	if err != nil {
		return Identity{}, err
	}
	advertised := s.PeerAdvertise
	if advertised == "" {
		advertised = s.PeerListen
	}
	return Identity{
		VM: core.VMID(s.VM), Role: role, Zone: core.ZoneID(s.Zone), Region: core.RegionID(s.Region),
		PeerAddr: advertised, LocalAddr: s.PeerListen, Incarnation: uint64(start.UnixNano()), Seeds: seeds, Security: security, Certs: store,
	}, nil
}

func parseSeeds(text string) ([]string, error) {
	var seeds []string
	var errs []error
	for _, seed := range strings.Split(text, ",") {
		seed = strings.TrimSpace(seed)
		if seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			errs = append(errs, fmt.Errorf("setting seeds: %q: want an IP number and port", seed))
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds, errors.Join(errs...)
}

// Logger returns a root logger with the configured format and level. It writes to
// standard error.
func (s *Settings) Logger() (*log.Logger, error) {
	return logging.New(os.Stderr, s.LogFormat, s.LogLevel)
}
