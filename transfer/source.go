package transfer

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
)

// WeightSource is an origin that also tells manifests, and whose address may
// become known late.
type WeightSource interface {
	Origin
	// Manifest reads the manifest of a version.
	Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error)
	// SetAddress names the origin.
	SetAddress(address string)
}

// manifestRetry is the wait after a manifest that could not be read.
const manifestRetry = 150 * time.Millisecond

// ReadManifest reads a manifest; nil after a failure, which it logs and after
// which it waits before the next try may follow.
func ReadManifest(ctx context.Context, source WeightSource, version core.VersionID, logger *log.Logger) *core.Manifest {
	manifest, err := source.Manifest(ctx, version)
	if err == nil {
		return manifest
	}
	logger.Warn("The manifest can't be read.", "version", version, "err", err)
	_ = kernel.Sleep(ctx, manifestRetry) // the next try finds out that ctx has ended
	return nil
}

// Members returns machines as a spread policy needs them.
func Members(list []*peerpb.FleetMember, relays bool) []spread.Member {
	members := make([]spread.Member, 0, len(list))
	for _, m := range list {
		members = append(members, spread.Member{
			ID: core.VMID(m.GetAddress()), Zone: core.ZoneID(m.GetZone()), Region: core.RegionID(m.GetRegion()), Relay: relays,
		})
	}
	return members
}
