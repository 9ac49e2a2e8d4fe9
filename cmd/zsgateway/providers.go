package main

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/gateway"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/transfer"
)

const (
	// retryShare is the fraction of the allowed retry ratio that is used.
	retryShare = 0.8
	// keyMargin is subtracted from the time within which a revoked key may still be
	// accepted.
	keyMargin = 250 * time.Millisecond
	// stopMargin is subtracted from the time between SIGTERM and SIGKILL.
	stopMargin = 500 * time.Millisecond
	// maxWatchWait bounds the wait of one watch request. A watch response confirms
	// the state at the time its request was sent, so without changes the last known
	// state becomes as old as two watch requests.
	maxWatchWait = 2400 * time.Millisecond
	// lapseMargin is how much less than the shortest time in which entries can expire a watch
	// waits, so that a single watch that is cut leaves no doubt whether entries have expired.
	lapseMargin = 350 * time.Millisecond
	// relayMemoryShare and relayLinkShare are the fractions of the VM's memory and
	// link bandwidth that the weight relay may use; calls take precedence.
	relayMemoryShare = 0.125
	relayLinkShare   = 0.6
	// watchShare is the fraction of the key revocation time that one watch request
	// may take: two requests and a slow response must fit into that time.
	watchShare = 0.35
)

func provideDecoder(s *platform.Settings) fleet.Decoder { return &platform.Decoder{Regions: s.Regions} }

func provideStore(s *platform.Settings) metastore.Store { return platform.NewStore(s.StoreAddress) }

func provideDialect() gateway.Dialect { return platform.Dialect{} }

func providePlacement(s *platform.Settings) placement.Config {
	return placement.Config{
		Name: string(s.VM),
		Zone: s.Zone, Region: s.Region, ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack,
		VersionSwitch: s.Bounds.VersionSwitch, Contention: s.Contention, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// watchWait returns how long a watch request to the store waits for changes.
func watchWait(s *platform.Settings) time.Duration {
	wait := min(maxWatchWait, time.Duration(watchShare*float64(s.Bounds.KeyRevocation)))
	if unexpired := s.RenewalInterval.MinLapse() - lapseMargin; unexpired > 0 {
		wait = min(wait, unexpired)
	}
	return wait
}

func provideRenewalInterval(s *platform.Settings) fleet.RenewalInterval { return s.RenewalInterval }

func provideConfig(o *platform.Options, s *platform.Settings) gateway.Config {
	return gateway.Config{
		Name: s.VM, CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, AgentPort: s.FirstPort, Regions: s.Regions,
		MaxKeyAge: s.Bounds.KeyRevocation - keyMargin, MaxDeclarationAge: s.Bounds.ConfigInForce,
		Contention: s.Contention, Restarted: !s.FirstStart,
		RetryRatio: s.Bounds.RetryRatio * retryShare, RetrySlack: s.Bounds.RetrySlack,
		MetricsListen: o.MetricsListen(s),
		StopTimeout:   s.Bounds.StopGrace - stopMargin, WatchWait: watchWait(s),
		BodyMemory: o.BodyMemory(s), CallerConnections: s.CallerConnections(),
		Relay: gateway.RelayConfig{
			Listen: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), PeerConnections: s.PeerConnections(), Zone: s.Zone, Region: s.Region,
			MemoryBytes: int64(float64(s.MemoryBytes) * relayMemoryShare), UploadRate: int64(float64(s.LinkRate) * relayLinkShare),
			RegionRate: transfer.RecommendedRegionRate, Version: platform.VersionID,
		},
	}
}
