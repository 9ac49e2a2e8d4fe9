package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/adapters/service"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/endpoint"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/timeline"
	"github.com/zinniaseam/zinniaseam/transfer"
)

const (
	mebibyte = 1 << 20
	kibibyte = 1 << 10
)

func provideIdentity(opts *options, start time.Time) (node.Identity, error) {
	return opts.Identity(core.RoleEndpoint, start)
}

func provideLogger(opts *options) (*log.Logger, error) { return opts.Logger() }

func provideGate(opts *options, identity node.Identity) (*gate.SharedGate, error) {
	return gate.NewShared(gate.SharedConfig{Limiter: opts.Limiter, Seed: identity.Incarnation})
}

func provideEngine(opts *options) *engine.Client { return engine.NewClient(opts.EngineURL) }

func provideService(opts *options) *service.Client { return service.NewClient(opts.ServiceURL) }

func providePlatform(opts *options) *platform.Client {
	return platform.New(opts.PlatformURL, platform.Options{})
}

func provideOrigin(opts *options) *origin.Client {
	return origin.New(origin.Config{StoreURL: opts.StoreURL})
}

func provideManifests(client *origin.Client) endpoint.ManifestSource { return client }

func provideFences(client *platform.Client) endpoint.FenceStore { return client }

func provideLedger(opts *options, n *node.Node, client *platform.Client) (claims.Ledger, error) {
	construct, err := claims.Ledgers.New(opts.Ledger)
	if err != nil {
		return nil, err
	}
	logger := n.Log.WithPrefix("claims")
	observe := func(o claims.Observation) {
		n.Recorder.Add(timeline.KindClaim, o.Request, string(o.Service), o.Text)
		if o.Alarm {
			logger.Warn(o.Text, "service", o.Service)
		}
	}
	return construct(claims.Options{Self: n.VM, Incarnation: n.Incarnation, Store: client, Observe: observe, WriteRate: float64(opts.ClaimWrites)}), nil
}

// provideSpreader returns nil on the VM of a plain service.
func provideSpreader(opts *options, n *node.Node, client *origin.Client, engineClient *engine.Client) (*transfer.Spreader, error) {
	if opts.Pool == "" {
		return nil, nil
	}
	return transfer.New(transfer.Config{
		Self:             spread.Member{ID: n.VM, Zone: n.Zone, Region: n.Region},
		OriginRegion:     core.RegionID(opts.OriginRegion),
		Policy:           opts.SpreadPolicy,
		Origin:           client,
		Staging:          &endpoint.Staging{Client: engineClient},
		Dial:             func(vm core.VMID) (peerpb.EndpointClient, error) { return dialPeer(n, vm) },
		OnUnknownVersion: n.Trigger,
		Probe:            func(ctx context.Context, vm core.VMID) error { return probePeer(ctx, n, vm) },
		RegionSlack:      time.Duration(opts.RegionSlackMS) * time.Millisecond,
		Recorder:         n.Recorder,
		Logger:           n.Log.WithPrefix("spread"),
		Seed:             n.Incarnation,
		UploadRate:       int64(opts.UploadMiB) * mebibyte,
		DownloadRate:     int64(opts.DownloadMiB) * mebibyte,
		RegionRate:       int64(opts.RegionKiB) * kibibyte,
	})
}

// probeBytes is about the size of a live request, so that a probe and a request
// see the same delay.
const probeBytes = 8 << 10

// probePadding is the payload of a probe.
var probePadding = strings.Repeat(" ", probeBytes)

// probePeer completes one round trip to the endpoint process on vm.
func probePeer(ctx context.Context, n *node.Node, vm core.VMID) error {
	row, known := n.View().VMs[vm]
	if !known {
		return fmt.Errorf("VM %s is not in the list", vm)
	}
	conn, err := n.Pool.Get(row.PeerAddr)
	if err != nil {
		return err
	}
	_, err = conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: peers.ProbeKind, Object: probePadding})
	return err
}

// dialPeer returns a client for the endpoint process on vm.
func dialPeer(n *node.Node, vm core.VMID) (peerpb.EndpointClient, error) {
	row, known := n.View().VMs[vm]
	if !known {
		return nil, fmt.Errorf("VM %s is not in the list", vm)
	}
	conn, err := n.Pool.Get(row.PeerAddr)
	if err != nil {
		return nil, err
	}
	return conn.Endpoint(), nil
}

func provideConfig(opts *options) endpoint.Config {
	return endpoint.Config{
		Pool: core.PoolID(opts.Pool), Service: core.ServiceID(opts.Service),
		PeerListen: opts.PeerListen, StopTimeout: opts.StopTimeout, Runtime: opts.Runtime,
	}
}
