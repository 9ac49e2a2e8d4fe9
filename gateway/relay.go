package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// RelayConfig configures the part of a gateway that stores weights for engines.
type RelayConfig struct {
	// Listen is the address for connections of the system's other processes. It also
	// identifies this machine as a relay.
	Listen string
	// PeerConnections bounds the connections of the system's other processes, 0 for a default.
	PeerConnections int
	Zone            core.ZoneID
	Region          core.RegionID
	// MemoryBytes bounds the stored weights. Weights that exceed it are left to the
	// engines' machines.
	MemoryBytes int64
	// UploadRate is the share of the VM's link for weights, in bytes per second.
	UploadRate int64
	// RegionRate is the share of the link between two regions for weights, in bytes per
	// second.
	RegionRate int64
	// Version returns the version ID of a model's weights with a declared number.
	Version func(model string, version int64) core.VersionID
}

const (
	// relayPolicy is the spread policy for weights that spread within seconds.
	relayPolicy = "chunk_owner_quick"
	// relayVersions is how many versions are stored: the active one and two declared in
	// quick succession.
	relayVersions = 3
	// relayPartBytes is the size of the parts in which a chunk is sent: 7 ms of an
	// engine's link of 9.4 Mbit/s.
	relayPartBytes = 8 << 10
	// relayUploads bounds the concurrent chunk uploads.
	relayUploads = 64
	// initialStatusWait is how long a process that has just started waits for the agents
	// of its region to report whether their engines have the version already.
	initialStatusWait = 400 * time.Millisecond
	// relayInterval is how often the choice of a version is evaluated.
	relayInterval = 100 * time.Millisecond
)

// relay fetches declared weights into this process's memory and passes them on to the
// machines of engines, whose links are narrow.
//
// Load pattern: a version is declared for all engines at once. The machines of engines
// can hardly send faster than they receive, so chunks passed from one to the next would
// take twice the time that their links need. The relay sends from the gateways' links
// instead.
type relay struct {
	peerpb.UnimplementedEndpointServer
	peerpb.UnimplementedPeerServer

	config   RelayConfig
	origin   transfer.WeightSource
	spreader *transfer.Spreader
	log      *log.Logger

	mu sync.Mutex
	// target is the declared version with its origin, engines are the machines that
	// need it, relays the other gateways that store chunks.
	target  *peerpb.FleetNews
	engines []*peerpb.FleetMember
	relays  []*peerpb.FleetMember
	changed chan struct{}
	// spreadMembers are the members last passed to the spreader. They are accessed only
	// by run.
	spreadMembers []spread.Member
	// manifest is the manifest of the newest version whose manifest was read.
	manifest *core.Manifest
	// onManifest is called when a manifest has been read.
	onManifest func()
	// enginesServing returns the engines of this region that serve a version, and
	// whether all agents of the region have reported.
	enginesServing func(version int64) (map[string]bool, bool)
}

func newRelay(config RelayConfig, origin transfer.WeightSource, pool *peers.Pool, logger *log.Logger) (*relay, error) {
	r := &relay{config: config, origin: origin, log: logger.WithPrefix("relay"), changed: make(chan struct{}, 1)}
	_, port, err := net.SplitHostPort(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("relay address: %w", err)
	}
	spreader, err := transfer.New(transfer.Config{
		Policy: relayPolicy, Self: r.self(), Origin: origin, Staging: transfer.NewMemoryStaging(relayVersions),
		Dial:   func(vm core.VMID) (peerpb.EndpointClient, error) { return dialPeer(pool, vm, port) },
		Logger: logger, RegionRate: config.RegionRate, UploadRate: config.UploadRate,
		PartBytes: relayPartBytes, UploadSlots: relayUploads, CacheBytes: config.MemoryBytes,
	})
	if err != nil {
		return nil, err
	}
	r.spreader = spreader
	return r, nil
}

func dialPeer(pool *peers.Pool, vm core.VMID, port string) (peerpb.EndpointClient, error) {
	host, _, err := net.SplitHostPort(string(vm))
	if err != nil {
		return nil, fmt.Errorf("peer %q: %w", vm, err)
	}
	conn, err := pool.Get(net.JoinHostPort(host, port))
	if err != nil {
		return nil, err
	}
	return conn.Endpoint(), nil
}

func (r *relay) self() spread.Member {
	return spread.Member{ID: core.VMID(r.config.Listen), Zone: r.config.Zone, Region: r.config.Region, Relay: true}
}

// member returns the fleet entry of this process, nil if it stores no weights for the
// target.
func (r *relay) member(target *peerpb.FleetNews) *peerpb.FleetMember {
	if !r.fits(target) {
		return nil
	}
	return &peerpb.FleetMember{Address: r.config.Listen, Zone: string(r.config.Zone), Region: string(r.config.Region)}
}

// fits reports whether relayVersions versions of the target's size fit into
// MemoryBytes.
func (r *relay) fits(target *peerpb.FleetNews) bool {
	return target.GetVersion() > 0 && relayVersions*int64(target.GetChunks())*int64(target.GetChunkBytes()) <= r.config.MemoryBytes
}

// FetchChunk implements peerpb.EndpointServer.
func (r *relay) FetchChunk(request *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	return r.spreader.ServeChunk(request, stream)
}

// Timeline answers the connection probe. Gateways record no timeline.
func (r *relay) Timeline(context.Context, *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return &peerpb.TimelineReply{}, nil
}

// serve accepts connections of other processes until ctx ends.
func (r *relay) serve(ctx context.Context, lender *lender) error {
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(peers.Security{}, r.log)
	peerpb.RegisterEndpointServer(server, r)
	peerpb.RegisterPeerServer(server, r)
	peerpb.RegisterGatewayServer(server, lender)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return server.Serve(peers.Limit(listener, r.config.PeerConnections, r.log))
}

// setTarget records the declared target and the engines that need it. Targets of an
// older version are ignored.
func (r *relay) setTarget(target *peerpb.FleetNews, engines []*peerpb.FleetMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if target.GetVersion() >= r.target.GetVersion() {
		r.target, r.engines = target, engines
		r.wake()
	}
}

// setRelays records the gateways that store chunks.
func (r *relay) setRelays(relays []*peerpb.FleetMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = relays
	r.wake()
}

func (r *relay) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target.GetVersion()
}

func (r *relay) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// targetAndMembers returns the declared target and all machines that take part in its
// spread.
func (r *relay) targetAndMembers(serving map[string]bool) (*peerpb.FleetNews, []spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := transfer.Members(r.engines, false)
	for i := range members {
		members[i].HasAllChunks = serving[string(members[i].ID)]
	}
	for _, relay := range transfer.Members(r.relays, true) {
		if relay.ID != r.self().ID {
			members = append(members, relay)
		}
	}
	return r.target, append(members, r.self())
}

// manifestRead is the result of reading a manifest. The manifest is nil if it could not
// be read.
type manifestRead struct {
	tracked  *rollout.TrackedVersion
	manifest *core.Manifest
}

// run keeps the declared weights stored until ctx ends.
func (r *relay) run(ctx context.Context) error {
	var versions rollout.Tracker
	// started is when the first declaration arrived.
	var started boottime.Instant
	manifests := make(chan manifestRead)
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.changed:
		case <-r.spreader.Staged():
		case read := <-manifests:
			read.tracked.Manifest, read.tracked.Reading = read.manifest, false
			r.publishManifest(read)
		case <-ticker.C:
			if newest := versions.Newest(); newest != nil && newest.Complete() {
				continue
			}
		}
		serving, complete := r.enginesServing(r.version())
		target, members := r.targetAndMembers(serving)
		if !r.fits(target) {
			continue
		}
		if started == 0 {
			started = boottime.Now()
		}
		if !complete && versions.Chosen() == nil && boottime.Now().Sub(started) < initialStatusWait {
			continue
		}
		r.origin.SetAddress(target.GetOrigin())
		r.spreader.SetOriginRegion(core.RegionID(target.GetOriginRegion()))
		versions.Declare(boottime.Now(), target.GetVersion(), r.config.Version(target.GetModel(), target.GetVersion()), boottime.Now())
		for _, v := range versions.Versions() {
			r.readManifest(ctx, v, target, manifests)
		}
		r.fetchChosen(ctx, &versions, members)
	}
}

// publishManifest stores a manifest and notifies the agents.
func (r *relay) publishManifest(read manifestRead) {
	if read.manifest == nil {
		return
	}
	r.mu.Lock()
	r.manifest = read.manifest
	r.mu.Unlock()
	r.onManifest()
}

// manifestVersion returns the ID of a declared version if its manifest is known, "" otherwise.
func (r *relay) manifestVersion(target *peerpb.FleetNews) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.manifest == nil || r.manifest.Version != r.config.Version(target.GetModel(), target.GetVersion()) {
		return ""
	}
	return string(r.manifest.Version)
}

// manifestOf returns the manifest of a declared version, nil while it is not known.
func (r *relay) manifestOf(target *peerpb.FleetNews) *peerpb.DeclaredManifest {
	if r.manifestVersion(target) == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return &peerpb.DeclaredManifest{Version: string(r.manifest.Version), Whole: r.manifest.Whole[:], Manifest: transfer.EncodeManifest(r.manifest)}
}

func (r *relay) readManifest(ctx context.Context, v *rollout.TrackedVersion, target *peerpb.FleetNews, manifests chan<- manifestRead) {
	if v.Manifest != nil || v.Reading {
		return
	}
	v.Reading = true
	go func() {
		select {
		case manifests <- manifestRead{tracked: v, manifest: transfer.ReadManifest(ctx, r.origin, v.ID, target, r.log)}:
		case <-ctx.Done():
		}
	}()
}

// fetchChosen starts fetching the chosen version. A nearly complete version is finished
// before a newer one is started, as on the machines of engines.
func (r *relay) fetchChosen(ctx context.Context, versions *rollout.Tracker, members []spread.Member) {
	now := boottime.Now()
	for _, v := range versions.Versions() {
		if progress, known := r.spreader.Progress(v.ID); known {
			v.SetChunksPresent(now, progress.Stored)
		}
	}
	if oldest := versions.Oldest(); oldest.Complete() {
		versions.RemoveUpTo(oldest.Number)
	}
	chosen, changed := versions.Choose(rollout.Choice{Now: now, SwitchAt: now})
	if chosen == nil || !changed && slices.Equal(members, r.spreadMembers) {
		return
	}
	if changed {
		r.log.Info("Fetching weights.", "version", chosen.ID, "members", len(members), "held", chosen.ChunksPresent())
	}
	if err := r.spreader.SetTarget(ctx, chosen.Manifest, members); err != nil {
		r.log.Warn("Cannot start the spread.", "version", chosen.ID, "err", err)
		return
	}
	r.spreadMembers = members
}
