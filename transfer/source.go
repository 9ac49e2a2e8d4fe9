package transfer

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
)

// WeightSource is an origin that also serves manifests, and whose address may
// be set after its creation.
type WeightSource interface {
	Origin
	// Manifest reads the manifest of a version.
	Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error)
	// SetAddress sets the address of the origin.
	SetAddress(address string)
}

// manifestRetry is the wait after a failed read of a manifest.
const manifestRetry = 150 * time.Millisecond

// CheckChunks returns an error if a manifest does not have the declared number of chunks.
// A manifest that lost some of them on the way would make incomplete weights look
// complete. A declaration without a number accepts any.
func CheckChunks(manifest *core.Manifest, declared *peerpb.FleetNews) error {
	if want := int(declared.GetChunks()); want != 0 && len(manifest.Chunks) != want {
		return fmt.Errorf("manifest %s: %d chunks, want %d as declared", manifest.Version, len(manifest.Chunks), want)
	}
	return nil
}

// ReadManifest reads and checks the manifest of a version with a declared number of
// chunks. After a failure it logs the error, waits for manifestRetry and returns nil, so
// that the caller can retry at once.
func ReadManifest(ctx context.Context, source WeightSource, version core.VersionID, declared *peerpb.FleetNews, logger *log.Logger) *core.Manifest {
	manifest, err := source.Manifest(ctx, version)
	if err == nil {
		err = CheckChunks(manifest, declared)
	}
	if err == nil {
		return manifest
	}
	logger.Warn("Reading the manifest failed; retrying.", "version", version, "err", err)
	_ = kernel.Sleep(ctx, manifestRetry) // the caller's next attempt detects that ctx has ended
	return nil
}

// Members converts fleet members to members of a spread policy; relays marks
// all of them as relays.
func Members(list []*peerpb.FleetMember, relays bool) []spread.Member {
	members := make([]spread.Member, 0, len(list))
	for _, m := range list {
		members = append(members, spread.Member{
			ID: core.VMID(m.GetAddress()), Zone: core.ZoneID(m.GetZone()), Region: core.RegionID(m.GetRegion()), Relay: relays,
		})
	}
	return members
}
