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
	// maxManifests is the maximum number of manifests kept for peers.
	maxManifests = 4
	// peerManifestTimeout bounds one read from a peer.
	peerManifestTimeout = 2 * time.Second
	// manifestOverheadBytes is the part of a message that is reserved for the fields of a
	// manifest other than the chunk digests.
	manifestOverheadBytes = 1024
	// maxPeerChunks is the maximum number of chunk digests in one message.
	maxPeerChunks = (peers.MaxMessageBytes - manifestOverheadBytes) / len(core.Digest{})
)

// manifestReader reads manifests from peers and the weight store and caches the latest
// ones for peers. It is safe for concurrent use.
type manifestReader struct {
	node  *node.Node
	store ManifestSource

	mu sync.Mutex
	// cached lists the cached manifests, oldest first.
	cached []*core.Manifest
}

// get returns a cached manifest, or nil if there is none.
func (r *manifestReader) get(version core.VersionID, digest core.Digest) *core.Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.cached {
		if m.Version == version && m.Whole == digest {
			return m
		}
	}
	return nil
}

// add caches a manifest, which makes it available to peers.
func (r *manifestReader) add(manifest *core.Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached = append(r.cached, manifest)
	if len(r.cached) > maxManifests {
		r.cached = r.cached[1:]
	}
}

// remove discards a manifest that turned out to be invalid.
func (r *manifestReader) remove(manifest *core.Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range r.cached {
		if m == manifest {
			r.cached = append(r.cached[:i:i], r.cached[i+1:]...)
			return
		}
	}
}

// read makes one attempt to read a manifest from source.
func (r *manifestReader) read(ctx context.Context, want declaredManifest, source manifests.Source) (*core.Manifest, error) {
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
	reply, err := conn.Endpoint().Manifest(callCtx, &peerpb.ManifestRequest{Version: string(want.version), Whole: want.digest[:]})
	if err != nil {
		return nil, fmt.Errorf("manifest from %s: %w", source.Peer, err)
	}
	conn.RecordProgress()
	return transfer.DecodeManifest(want.version, want.digest, reply)
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

// declaredManifest identifies the manifest of a version declared by the configuration.
type declaredManifest struct {
	version core.VersionID
	digest  core.Digest
	size    int64
}

// manifestDeclaredBy returns the manifest declared for a version in the catalogue.
func manifestDeclaredBy(version *catalogue.Version) (declaredManifest, error) {
	want := declaredManifest{version: version.Name, size: version.SizeBytes}
	return want, want.digest.UnmarshalText([]byte(version.Digest))
}

// check returns an error if the manifest does not match the declaration.
func (w declaredManifest) check(manifest *core.Manifest) error {
	switch {
	case manifest.Whole != w.digest:
		return fmt.Errorf("manifest %s: digest %s, want %s", w.version, manifest.Whole, w.digest)
	case manifest.SizeBytes != w.size:
		return fmt.Errorf("manifest %s: %d bytes, want %d", w.version, manifest.SizeBytes, w.size)
	default:
		return nil
	}
}

// readResult is the result of one attempt to read a manifest. It embeds Tick to be an
// activation.Event, so that it can be sent through the event ring.
type readResult struct {
	activation.Tick
	want     declaredManifest
	manifest *core.Manifest
	source   manifests.Source
	err      error
}

// readState is the state of the attempts to read one declared manifest. It is owned by
// the weights duty.
type readState struct {
	want declaredManifest
	plan *manifests.Plan
	next time.Time
	// storePending and peerPending are set while an attempt at the store or at a peer
	// is in progress.
	storePending, peerPending bool
}

// readManifest starts an attempt to read the manifest of the declared version, unless
// that manifest is already present.
func (w *weights) readManifest(ctx context.Context) {
	pool := w.view.Index.Pool(w.process.config.Pool)
	if pool == nil {
		return
	}
	version := w.view.Index.Version(pool.Version)
	if version == nil || w.declared != nil && w.declared.Version == version.Name && w.declared.Whole.String() == version.Digest {
		return
	}
	want, err := manifestDeclaredBy(version)
	if err != nil {
		return // not reached: the catalogue rejects invalid digests
	}
	now := time.Now()
	if w.reading.want != want {
		w.reading = readState{want: want, plan: w.newPlan(want, members(w.view, pool), now)}
	}
	if w.reading.peerPending || now.Before(w.reading.next) {
		return
	}
	source, ok := w.reading.plan.Next(now, w.reading.storePending)
	w.reading.next = now.Add(w.reading.plan.Wait())
	if !ok {
		return
	}
	w.reading.setPending(source, true)
	go func() {
		readCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
		defer cancel()
		manifest, err := w.manifests.read(readCtx, want, source)
		w.post(ctx, readResult{want: want, manifest: manifest, source: source, err: err})
	}()
}

// setPending records the start or the end of an attempt.
func (r *readState) setPending(source manifests.Source, pending bool) {
	if source.IsStore() {
		r.storePending = pending
		return
	}
	r.peerPending = pending
}

func (w *weights) newPlan(want declaredManifest, members []spread.Member, now time.Time) *manifests.Plan {
	random := rand.New(rand.NewPCG(w.process.node.Incarnation, uint64(now.UnixNano())))
	return manifests.New(w.process.node.VM, w.process.node.Zone, members, want.version, w.rejected == want, now, random)
}

// handleRead processes the result of an attempt.
func (w *weights) handleRead(ctx context.Context, result readResult) {
	if result.want != w.reading.want {
		return
	}
	w.reading.setPending(result.source, false)
	err := result.err
	if err == nil {
		err = result.want.check(result.manifest)
	}
	if err != nil {
		w.reportReadFailure(result, err)
		return
	}
	w.reading = readState{}
	w.setDetail("")
	w.fromPeer = !result.source.IsStore()
	w.manifests.add(result.manifest)
	w.declare(ctx, result.manifest)
}

// reportReadFailure reports to operators why a manifest is still missing. Failures at
// peers are not reported, since a peer may simply not have the manifest yet.
func (w *weights) reportReadFailure(result readResult, err error) {
	if !result.source.IsStore() {
		return
	}
	if result.err == nil {
		w.setDetail("The manifest is not the declared one.")
		w.log.Error("The manifest in the store does not match its declaration; reading it again.", "version", result.want.version, "err", err)
		return
	}
	w.setDetail("The manifest can't be read.")
	w.log.Warn("Could not read the manifest from the store; retrying.", "version", result.want.version, "err", err)
}

// rejectPeerManifest discards a manifest from a peer after the weights did not match
// its digest. The manifest is then read from the store only.
func (w *weights) rejectPeerManifest() {
	if w.declared == nil || !w.fromPeer {
		return
	}
	w.log.Warn("The weights do not match the manifest from a peer; reading the manifest from the store.", "version", w.declared.Version)
	w.manifests.remove(w.declared)
	w.rejected = declaredManifest{version: w.declared.Version, digest: w.declared.Whole, size: w.declared.SizeBytes}
	w.reading = readState{}
	w.declared = nil
}
