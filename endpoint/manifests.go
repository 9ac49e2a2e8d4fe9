package endpoint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/manifests"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

const (
	// maxManifests bounds the manifests that are kept for peers.
	maxManifests = 4
	// peerManifestTimeout bounds one read from a peer.
	peerManifestTimeout = 2 * time.Second
	// maxPeerChunks bounds the digests that one message carries.
	maxPeerChunks = (peers.MaxMessageBytes - 1024) / len(core.Digest{})
)

// manifestReader reads manifests from peers and the weight store, and keeps the
// latest for peers. It is safe for concurrent use.
type manifestReader struct {
	node  *node.Node
	store ManifestSource

	mu sync.Mutex
	// held lists the manifests at hand, oldest first.
	held []*core.Manifest
}

// get returns a manifest at hand, nil when there is none.
func (r *manifestReader) get(version core.VersionID, whole core.Digest) *core.Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.held {
		if m.Version == version && m.Whole == whole {
			return m
		}
	}
	return nil
}

// keep makes a manifest known to peers.
func (r *manifestReader) keep(manifest *core.Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, manifest)
	if len(r.held) > maxManifests {
		r.held = r.held[1:]
	}
}

// drop forgets a manifest that did not hold.
func (r *manifestReader) drop(manifest *core.Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range r.held {
		if m == manifest {
			r.held = append(r.held[:i:i], r.held[i+1:]...)
			return
		}
	}
}

// read makes one try.
func (r *manifestReader) read(ctx context.Context, want wantedManifest, source manifests.Source) (*core.Manifest, error) {
	if source.IsStore() {
		return r.store.Manifest(ctx, want.version)
	}
	vm, listed := r.node.View().VMs[source.Peer]
	if !listed {
		return nil, transfer.ErrNoManifest
	}
	ctx, cancel := context.WithTimeout(ctx, peerManifestTimeout)
	defer cancel()
	conn, err := r.node.Pool.Get(vm.PeerAddr)
	if err != nil {
		return nil, err
	}
	callCtx, end := conn.Begin(ctx)
	defer end()
	if err := conn.Ready(callCtx); err != nil {
		return nil, err
	}
	reply, err := conn.Endpoint().Manifest(callCtx, &peerpb.ManifestRequest{Version: string(want.version), Whole: want.whole[:]})
	if err != nil {
		return nil, fmt.Errorf("manifest from %s: %w", source.Peer, err)
	}
	conn.RecordProgress()
	return transfer.DecodeManifest(want.version, want.whole, reply)
}

// Manifest implements peerpb.EndpointServer.
func (p *Process) Manifest(_ context.Context, request *peerpb.ManifestRequest) (*peerpb.ManifestReply, error) {
	if p.weights == nil || len(request.GetWhole()) != len(core.Digest{}) {
		return &peerpb.ManifestReply{Missing: true}, nil
	}
	manifest := p.weights.manifests.get(core.VersionID(request.GetVersion()), core.Digest(request.GetWhole()))
	if manifest == nil || len(manifest.Chunks) > maxPeerChunks {
		return &peerpb.ManifestReply{Missing: true}, nil
	}
	return transfer.EncodeManifest(manifest), nil
}

// wantedManifest is what the configuration in force declares.
type wantedManifest struct {
	version core.VersionID
	whole   core.Digest
	size    int64
}

// wanted returns what the catalogue declares of a version.
func wanted(version *catalogue.Version) (wantedManifest, error) {
	want := wantedManifest{version: version.Name, size: version.SizeBytes}
	return want, want.whole.UnmarshalText([]byte(version.Digest))
}

// check reports why a manifest is not the wanted one.
func (w wantedManifest) check(manifest *core.Manifest) error {
	switch {
	case manifest.Whole != w.whole:
		return fmt.Errorf("manifest %s: digest %s, want %s", w.version, manifest.Whole, w.whole)
	case manifest.SizeBytes != w.size:
		return fmt.Errorf("manifest %s: %d bytes, want %d", w.version, manifest.SizeBytes, w.size)
	default:
		return nil
	}
}

// manifestRead is the end of one try; Tick lets it pass through the ring.
type manifestRead struct {
	activation.Tick
	want     wantedManifest
	manifest *core.Manifest
	source   manifests.Source
	err      error
}

// reading is the state of the reads of one wanted manifest; the duty owns it.
type reading struct {
	want wantedManifest
	plan *manifests.Plan
	next time.Time
	// storeOpen and peerOpen say that a try at the store or at a peer is on its way.
	storeOpen, peerOpen bool
}

// readManifest starts a try to read the manifest of the declared version once it
// is another than the one at hand.
func (w *weights) readManifest(ctx context.Context) {
	pool := w.view.Index.Pool(w.process.config.Pool)
	if pool == nil {
		return
	}
	version := w.view.Index.Version(pool.Version)
	if version == nil || w.declared != nil && w.declared.Version == version.Name && w.declared.Whole.String() == version.Digest {
		return
	}
	want, err := wanted(version)
	if err != nil {
		return // the catalogue checks digests
	}
	now := time.Now()
	if w.reading.want != want {
		w.reading = reading{want: want, plan: w.newPlan(want, members(w.view, pool), now)}
	}
	if w.reading.peerOpen || now.Before(w.reading.next) {
		return
	}
	source, ok := w.reading.plan.Next(now, w.reading.storeOpen)
	w.reading.next = now.Add(w.reading.plan.Wait())
	if !ok {
		return
	}
	w.reading.setOpen(source, true)
	go func() {
		readCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
		defer cancel()
		manifest, err := w.manifests.read(readCtx, want, source)
		w.report(ctx, manifestRead{want: want, manifest: manifest, source: source, err: err})
	}()
}

// setOpen notes that a try begins or has ended.
func (r *reading) setOpen(source manifests.Source, open bool) {
	if source.IsStore() {
		r.storeOpen = open
		return
	}
	r.peerOpen = open
}

func (w *weights) newPlan(want wantedManifest, members []spread.Member, now time.Time) *manifests.Plan {
	random := rand.New(rand.NewPCG(w.process.node.Incarnation, uint64(now.UnixNano())))
	return manifests.New(w.process.node.VM, w.process.node.Zone, members, want.version, w.distrusted == want, now, random)
}

// settleRead takes the end of a try.
func (w *weights) settleRead(ctx context.Context, done manifestRead) {
	if done.want != w.reading.want {
		return
	}
	w.reading.setOpen(done.source, false)
	err := done.err
	if err == nil {
		err = done.want.check(done.manifest)
	}
	if err != nil {
		w.reportUnread(done, err)
		return
	}
	w.reading = reading{}
	w.setDetail("")
	w.fromPeer = !done.source.IsStore()
	w.manifests.keep(done.manifest)
	w.declare(ctx, done.manifest)
}

// reportUnread tells operators why a manifest is still missing. That a peer does
// not hold it yet is not worth a line.
func (w *weights) reportUnread(done manifestRead, err error) {
	if !done.source.IsStore() {
		return
	}
	if done.err == nil {
		w.setDetail("The manifest is not the declared one.")
		w.log.Error("The manifest is not the declared one.", "version", done.want.version, "err", err)
		return
	}
	w.setDetail("The manifest can't be read.")
	w.log.Warn("The manifest can't be read.", "version", done.want.version, "err", err)
}

// distrust drops a manifest of a peer whose chunks do not make up the whole, and
// has it read from the store alone.
func (w *weights) distrust() {
	if w.declared == nil || !w.fromPeer {
		return
	}
	w.log.Warn("A peer's manifest does not hold; it is read from the store.", "version", w.declared.Version)
	w.manifests.drop(w.declared)
	w.distrusted = wantedManifest{version: w.declared.Version, whole: w.declared.Whole, size: w.declared.SizeBytes}
	w.reading = reading{}
	w.declared = nil
}
