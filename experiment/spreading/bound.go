package spreading

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// originRegion is the region of the origin.
const originRegion core.RegionID = "region-0"

// Shape is the size of a fleet and its division into zones and regions.
type Shape struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	// Relays is the number of additional machines with fast links that store the
	// weights for the others.
	Relays int `json:"relays,omitempty"`
}

// members returns the machines and relays, each distributed evenly over the zones,
// and the zones evenly over the regions.
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

// Weights is the size of a version's weights and of their chunks.
type Weights struct {
	SizeBytes  int64 `json:"sizeBytes"`
	ChunkBytes int64 `json:"chunkBytes"`
}

func (w Weights) manifest(version core.VersionID) *core.Manifest {
	chunks := (w.SizeBytes + w.ChunkBytes - 1) / w.ChunkBytes
	return &core.Manifest{Version: version, SizeBytes: w.SizeBytes, ChunkBytes: w.ChunkBytes, Chunks: make([]core.Digest, chunks)}
}

// budgetNetwork returns a network in which, within frame, the origin can send four
// copies and each machine can send and receive two.
func budgetNetwork(w Weights, frame time.Duration) Network {
	size := float64(w.SizeBytes) / frame.Seconds()
	return Network{Origin: 4 * size, Up: 2 * size, Down: 2 * size, Region: regionRate}
}

// lowerBound returns a lower bound of the time until all machines store the weights.
func lowerBound(w Weights, shape Shape, n Network) time.Duration {
	size, machines := float64(w.SizeBytes), float64(shape.Machines)
	bound := max(size/n.Origin, size/n.Down, machines*size/(n.Origin+machines*n.Up))
	if shape.Regions > 1 {
		// A region receives at most one link's rate from each other region.
		bound = max(bound, size/(float64(shape.Regions-1)*n.Region))
	}
	return time.Duration(bound * float64(time.Second))
}

// directBound returns the lower bound if each region fetches everything over its link
// from the origin's region, 0 for a single region.
func directBound(w Weights, shape Shape, n Network) time.Duration {
	if shape.Regions <= 1 {
		return 0
	}
	return time.Duration(float64(w.SizeBytes) / n.Region * float64(time.Second))
}
