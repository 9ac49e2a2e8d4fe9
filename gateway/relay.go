package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// RelayConfig configures the part of a gateway that holds weights for engines.
type RelayConfig struct {
	// Listen takes the system's other processes and names this machine as a relay.
	Listen string
	Zone   core.ZoneID
	Region core.RegionID
	// MemoryBytes bounds the weights that are held; larger ones are left to the
	// engines' own machines.
	MemoryBytes int64
	// UploadRate is what weights may use of the VM's link, in bytes a second.
	UploadRate int64
	// RegionRate is what weights may use of the link between two regions, in bytes a second.
	RegionRate int64
	// Version names the weights of a model with a declared number.
	Version func(model string, version int64) core.VersionID
}

const (
	// relayPolicy is for weights that spread within seconds.
	relayPolicy = "chunk_owner_quick"
	// relayVersions is how many versions are held: the one in use and two that are
	// declared in quick succession.
	relayVersions = 3
	// relayPartBytes is how much of a chunk is sent at once: 7 ms of an engine's
	// link of 9.4 Mbit/s.
	relayPartBytes = 8 << 10
	// relayUploads bounds the chunks being sent at once.
	relayUploads = 64
	// holderWait is how long a process that has just started waits for the agents of
	// its region to tell whether their engines hold the version already.
	holderWait = 400 * time.Millisecond
	// relayStep is how often the choice of a version is looked at.
	relayStep = 100 * time.Millisecond
)

// relay brings declared weights into this process's memory and passes them on to
// the machines of engines, whose links are narrow.
//
// Load pattern answered: a version is declared for all engines at once. Engines'
// machines can send hardly faster than they receive, so that chunks passed from
// one to the next take twice the time that their links need.
type relay struct {
	peerpb.UnimplementedEndpointServer
	peerpb.UnimplementedPeerServer

	config   RelayConfig
	origin   transfer.WeightSource
	spreader *transfer.Spreader
	log      *log.Logger

	mu sync.Mutex
	// news is what is declared, engines are the machines that need it, relays the
	// other gateways that hold chunks.
	news    *peerpb.FleetNews
	engines []*peerpb.FleetMember
	relays  []*peerpb.FleetMember
	changed chan struct{}
	// told are the machines that the spreader knows; owned by run.
	told []spread.Member
	// manifest is that of the newest version of which it was read.
	manifest *core.Manifest
	// onManifest is called when a manifest was read.
	onManifest func()
	// holders returns the engines of this region that serve a version, and whether
	// all of the region's agents have told.
	holders func(version int64) (map[string]bool, bool)
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

// member describes this process to agents, nil while it holds no weights for them.
func (r *relay) member(news *peerpb.FleetNews) *peerpb.FleetMember {
	if !r.fits(news) {
		return nil
	}
	return &peerpb.FleetMember{Address: r.config.Listen, Zone: string(r.config.Zone), Region: string(r.config.Region)}
}

// fits reports whether all versions that are held at once fit in the memory.
func (r *relay) fits(news *peerpb.FleetNews) bool {
	return news.GetVersion() > 0 && relayVersions*int64(news.GetChunks())*int64(news.GetChunkBytes()) <= r.config.MemoryBytes
}

// FetchChunk implements peerpb.EndpointServer.
func (r *relay) FetchChunk(request *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	return r.spreader.ServeChunk(request, stream)
}

// Timeline answers the probe of connections; gateways keep no time line.
func (r *relay) Timeline(context.Context, *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return &peerpb.TimelineReply{}, nil
}

// serve takes other processes until ctx ends.
func (r *relay) serve(ctx context.Context, lender *lender) error {
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(peers.Security{})
	peerpb.RegisterEndpointServer(server, r)
	peerpb.RegisterPeerServer(server, r)
	peerpb.RegisterGatewayServer(server, lender)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return server.Serve(listener)
}

// take notes what is declared and which engines need it.
func (r *relay) take(news *peerpb.FleetNews, engines []*peerpb.FleetMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if news.GetVersion() >= r.news.GetVersion() {
		r.news, r.engines = news, engines
		r.wake()
	}
}

// takeRelays notes the gateways that hold chunks.
func (r *relay) takeRelays(relays []*peerpb.FleetMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = relays
	r.wake()
}

func (r *relay) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news.GetVersion()
}

func (r *relay) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// declared returns what is declared and all machines that take part in its spread.
func (r *relay) declared(holders map[string]bool) (*peerpb.FleetNews, []spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := transfer.Members(r.engines, false)
	for i := range members {
		members[i].HasAllChunks = holders[string(members[i].ID)]
	}
	for _, relay := range transfer.Members(r.relays, true) {
		if relay.ID != r.self().ID {
			members = append(members, relay)
		}
	}
	return r.news, append(members, r.self())
}

// manifestRead is the end of reading a manifest, nil when it could not be read.
type manifestRead struct {
	of       *rollout.Tracked
	manifest *core.Manifest
}

// run keeps the declared weights until ctx ends.
func (r *relay) run(ctx context.Context) error {
	var versions rollout.Tracker
	// started is when the first declaration came.
	var started time.Time
	manifests := make(chan manifestRead)
	ticker := time.NewTicker(relayStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.changed:
		case <-r.spreader.Staged():
		case read := <-manifests:
			read.of.Manifest, read.of.Reading = read.manifest, false
			r.publish(read)
		case <-ticker.C:
			if newest := versions.Newest(); newest != nil && newest.Whole() {
				continue
			}
		}
		holders, complete := r.holders(r.version())
		news, members := r.declared(holders)
		if !r.fits(news) {
			continue
		}
		if started.IsZero() {
			started = time.Now()
		}
		if !complete && versions.Chosen() == nil && time.Since(started) < holderWait {
			continue
		}
		r.origin.SetAddress(news.GetOrigin())
		r.spreader.SetOriginRegion(core.RegionID(news.GetOriginRegion()))
		versions.Declare(time.Now(), news.GetVersion(), r.config.Version(news.GetModel(), news.GetVersion()), time.Now())
		for _, v := range versions.Versions() {
			r.read(ctx, v, manifests)
		}
		r.want(ctx, &versions, members)
	}
}

// publish has agents told of a manifest.
func (r *relay) publish(read manifestRead) {
	if read.manifest == nil {
		return
	}
	r.mu.Lock()
	r.manifest = read.manifest
	r.mu.Unlock()
	r.onManifest()
}

// manifestOf returns the manifest of a declared version, nil while it is not known.
func (r *relay) manifestOf(news *peerpb.FleetNews) *peerpb.DeclaredManifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.manifest == nil || r.manifest.Version != r.config.Version(news.GetModel(), news.GetVersion()) {
		return nil
	}
	return &peerpb.DeclaredManifest{Version: string(r.manifest.Version), Whole: r.manifest.Whole[:], Manifest: transfer.EncodeManifest(r.manifest)}
}

func (r *relay) read(ctx context.Context, v *rollout.Tracked, manifests chan<- manifestRead) {
	if v.Manifest != nil || v.Reading {
		return
	}
	v.Reading = true
	go func() {
		select {
		case manifests <- manifestRead{of: v, manifest: transfer.ReadManifest(ctx, r.origin, v.ID, r.log)}:
		case <-ctx.Done():
		}
	}()
}

// want has the chosen version fetched. A version that is nearly there is finished
// before a newer one begins, as the machines of engines do.
func (r *relay) want(ctx context.Context, versions *rollout.Tracker, members []spread.Member) {
	now := time.Now()
	for _, v := range versions.Versions() {
		if progress, known := r.spreader.Progress(v.ID); known {
			v.Count(now, progress.Stored)
		}
	}
	if oldest := versions.Oldest(); oldest.Whole() {
		versions.ForgetUpTo(oldest.Number)
	}
	chosen, changed := versions.Choose(rollout.Choice{Now: now, TurnAt: now})
	if chosen == nil || !changed && slices.Equal(members, r.told) {
		return
	}
	if changed {
		r.log.Info("Weights are fetched.", "version", chosen.ID, "members", len(members), "held", chosen.Held())
	}
	if err := r.spreader.SetTarget(ctx, chosen.Manifest, members); err != nil {
		r.log.Warn("The spread can't start.", "version", chosen.ID, "err", err)
		return
	}
	r.told = members
}
