package spreading

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// originRegion is where the origin stands.
const originRegion core.RegionID = "region-0"

// Shape is how many machines stand where.
type Shape struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	// Relays is how many machines with fast links hold the weights for the others.
	Relays int `json:"relays,omitempty"`
}

// members spreads the machines evenly over the zones, and the zones over the
// regions; relays likewise.
func (s Shape) members() []spread.Member {
	members := make([]spread.Member, 0, s.Machines+s.Relays)
	for i := range s.Machines {
		members = append(members, s.member(fmt.Sprintf("vm-%04d", i), i))
	}
	for i := range s.Relays {
		relay := s.member(fmt.Sprintf("relay-%03d", i), i)
		relay.Relay = true
		members = append(members, relay)
	}
	return members
}

func (s Shape) member(id string, index int) spread.Member {
	zone := index % s.Zones
	return spread.Member{
		ID: core.VMID(id), Zone: core.ZoneID(fmt.Sprintf("zone-%d", zone)), Region: core.RegionID(fmt.Sprintf("region-%d", zone%s.Regions)),
	}
}

// Weights is the size of a version and of its chunks.
type Weights struct {
	SizeBytes  int64 `json:"sizeBytes"`
	ChunkBytes int64 `json:"chunkBytes"`
}

func (w Weights) manifest(version core.VersionID) *core.Manifest {
	chunks := (w.SizeBytes + w.ChunkBytes - 1) / w.ChunkBytes
	return &core.Manifest{Version: version, SizeBytes: w.SizeBytes, ChunkBytes: w.ChunkBytes, Chunks: make([]core.Digest, chunks)}
}

// budgetNetwork returns the links that carry four copies from the origin and
// two copies each way at a machine within frame.
func budgetNetwork(w Weights, frame time.Duration) Network {
	size := float64(w.SizeBytes) / frame.Seconds()
	return Network{Origin: 4 * size, Up: 2 * size, Down: 2 * size, Region: regionRate}
}

// lowerBound returns the least time in which all machines can hold the weights.
func lowerBound(w Weights, shape Shape, n Network) time.Duration {
	size, machines := float64(w.SizeBytes), float64(shape.Machines)
	least := max(size/n.Origin, size/n.Down, machines*size/(n.Origin+machines*n.Up))
	if shape.Regions > 1 {
		// A region can take in at most one link's rate from each other region.
		least = max(least, size/(float64(shape.Regions-1)*n.Region))
	}
	return time.Duration(least * float64(time.Second))
}

// directBound is the bound when each region draws everything over its one link
// to the origin's region.
func directBound(w Weights, shape Shape, n Network) time.Duration {
	if shape.Regions <= 1 {
		return 0
	}
	return time.Duration(float64(w.SizeBytes) / n.Region * float64(time.Second))
}
