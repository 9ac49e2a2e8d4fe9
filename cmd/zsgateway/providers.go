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
	// budgetShare is the part of the deployment's bounds on repeats and on cold
	// endpoints that one of its processes uses: there are 7 to 38 of them, and few
	// serve the same endpoint at once.
	budgetShare = 1.0 / 12
	// retryShare is the part of the allowed ratio of repeats that is used.
	retryShare = 0.8
	// keyMargin is kept from the time in which removed keys may still be taken.
	keyMargin = 250 * time.Millisecond
	// stopMargin is kept from the time between SIGTERM and SIGKILL.
	stopMargin = 500 * time.Millisecond
	// maxWatchWait bounds a watch. Its answer confirms what was known when it was
	// sent, so that beliefs grow as old as two watches on a quiet day.
	maxWatchWait = 2400 * time.Millisecond
	// relayMemoryShare is the part of the VM's memory that weights may take, and
	// relayLinkShare the part of its link: calls go first.
	relayMemoryShare = 0.125
	relayLinkShare   = 0.6
	// watchShare is the part of the time for revoked keys that one watch may take:
	// two of them and a slow answer must fit.
	watchShare = 0.35
)

func provideDecoder(s *platform.Settings) fleet.Decoder { return &platform.Decoder{Regions: s.Regions} }

func provideStore(s *platform.Settings) metastore.Store { return platform.NewStore(s.StoreAddress) }

func provideDialect() gateway.Dialect { return platform.Dialect{} }

func providePlacement(s *platform.Settings) placement.Config {
	return placement.Config{
		Zone: s.Zone, Region: s.Region, ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack, ColdShare: budgetShare,
		VersionSwitch: s.Bounds.VersionSwitch, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// watchWait is how long a watch of the store waits for changes.
func watchWait(bounds platform.Bounds) time.Duration {
	return min(maxWatchWait, time.Duration(watchShare*float64(bounds.KeyRevocation)))
}

func provideConfig(o *platform.Options, s *platform.Settings) gateway.Config {
	return gateway.Config{
		Name: s.VM, CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, AgentPort: s.FirstPort, Regions: s.Regions,
		MaxKeyAge: s.Bounds.KeyRevocation - keyMargin, MaxDeclarationAge: s.Bounds.ConfigInForce + 2*watchWait(s.Bounds),
		RetryRatio: s.Bounds.RetryRatio * retryShare, RetryBurst: max(s.Bounds.RetrySlack*budgetShare, 1),
		MetricsListen: o.MetricsListen(s),
		StopTimeout:   s.Bounds.StopGrace - stopMargin, WatchWait: watchWait(s.Bounds),
		Relay: gateway.RelayConfig{
			Listen: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), Zone: s.Zone, Region: s.Region,
			MemoryBytes: int64(float64(s.MemoryBytes) * relayMemoryShare), UploadRate: int64(float64(s.LinkRate) * relayLinkShare),
			RegionRate: transfer.RecommendedRegionRate, Version: platform.VersionID,
		},
	}
}
