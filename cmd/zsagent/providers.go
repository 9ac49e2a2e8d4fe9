package main

import (
	"net"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/platform"
)

const (
	// stopTimeout bounds the shutdown; an agent has no calls to drain.
	stopTimeout = time.Second
	// uploadShare is the fraction of the VM's link that weight uploads may use. The
	// engine's streams take a tenth of the link and must not queue behind weights.
	uploadShare = 0.8
	// fetchShare is the fraction of the VM's link that one chunk download from a relay
	// may use: three concurrent downloads leave a tenth for calls.
	fetchShare = 0.3
	// startSettle is how long the engine may take to carry out what it received from a
	// killed process. An agent starts about as long before its engine registers.
	startSettle = time.Second
)

func provideEngine(s *platform.Settings) *platform.Engine { return platform.NewEngine(s.EngineAddress) }

func providePool() *peers.Pool { return peers.NewPool("", peers.Security{}) }

func provideConfig(o *platform.Options, s *platform.Settings) agent.Config {
	return agent.Config{
		EngineAddress: s.EngineAddress, Zone: s.Zone, Region: s.Region,
		Listen: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), PeerPort: s.FirstPort, PeerConnections: s.PeerConnections(),
		UploadRate: int64(float64(s.LinkRate) * uploadShare), FetchRate: int64(float64(s.LinkRate) * fetchShare),
		SwitchTime: s.Bounds.VersionSwitch, StopTimeout: stopTimeout, StartSettle: startSettle, MetricsListen: o.MetricsListen(s), Version: platform.VersionID,
	}
}
