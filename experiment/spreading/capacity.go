package spreading

import (
	"context"
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
)

func init() {
	experiment.Experiments.Register("capacity-spread", func() experiment.Run { return runCapacity })
}

// statePolicies is the number of policies in one memory measurement.
const statePolicies = 24

// StateRow is the memory use of one policy at one size.
type StateRow struct {
	Members int     `json:"members"`
	Chunks  int     `json:"chunks"`
	Bytes   float64 `json:"bytes"`
	// MembersChangedMicros is the time to process one change of the member list.
	MembersChangedMicros float64 `json:"membersChangedMicroseconds"`
}

// CapacityResult is the result of the capacity-spread measurement.
type CapacityResult struct {
	Seed           uint64     `json:"seed"`
	State          []StateRow `json:"state"`
	BytesPerMember float64    `json:"bytesPerMember"`
	BytesPerChunk  float64    `json:"bytesPerChunk"`
	// RequestBytes is the size of one encoded chunk request.
	RequestBytes int   `json:"requestBytes"`
	Runs         []Row `json:"runs"`
}

// runCapacity measures how memory, messages and processor time of chunk_owner grow
// with the fleet, for the capacity page.
func runCapacity(ctx context.Context, options experiment.Options) error {
	result := CapacityResult{Seed: options.Seed, RequestBytes: requestBytes()}
	smallest, largest := 64, 1300
	fewChunks, manyChunks := 1024, 8192
	for _, size := range [][2]int{{smallest, fewChunks}, {256, fewChunks}, {largest, fewChunks}, {largest, manyChunks}} {
		result.State = append(result.State, measureState(size[0], size[1], options.Seed))
	}
	result.BytesPerMember = (result.State[2].Bytes - result.State[0].Bytes) / float64(largest-smallest)
	result.BytesPerChunk = (result.State[3].Bytes - result.State[2].Bytes) / float64(manyChunks-fewChunks)

	shapes := []Shape{{Machines: 64, Zones: 14, Regions: 6}, {Machines: 256, Zones: 14, Regions: 6}, {Machines: 1300, Zones: 14, Regions: 6}}
	if options.Quick {
		shapes = shapes[:1]
	}
	var planned []plannedCase
	for _, shape := range shapes {
		planned = append(planned, plannedCase{Case: Case{Policy: chunkOwnerPolicy, Fault: FaultNone, Shape: shape, Weights: defaultWeights}, runs: 1})
	}
	rows, err := runAll(ctx, planned, options.Seed)
	if err != nil {
		return err
	}
	result.Runs = rows
	printCapacity(options, result)
	return experiment.WriteResult(options, "capacity-spread", result)
}

// measureState measures the heap growth of building statePolicies policies and the
// time of a change of their member lists.
func measureState(members, chunks int, seed uint64) StateRow {
	shape := Shape{Machines: members, Zones: 14, Regions: 6}
	list := shape.members()
	manifest := &core.Manifest{Version: firstVersion, SizeBytes: int64(chunks), ChunkBytes: 1, Chunks: make([]core.Digest, chunks)}
	build := spread.NewChunkOwner(spread.DefaultTuning)
	policies := make([]spread.Policy, statePolicies)
	before := heapBytes()
	for i := range policies {
		policies[i] = build(spread.Start{
			Now: epoch, Self: list[i%members], OriginRegion: originRegion, Manifest: manifest,
			Stored: make([]bool, chunks), Members: list, Seed: seed,
		})
		policies[i].Step(epoch, spread.Tick{})
	}
	row := StateRow{Members: members, Chunks: chunks, Bytes: float64(heapBytes()-before) / statePolicies}
	began := time.Now()
	for _, policy := range policies {
		policy.Step(epoch, spread.MembersChanged{Members: list})
	}
	row.MembersChangedMicros = float64(time.Since(began).Nanoseconds()) / 1000 / statePolicies
	return row
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func requestBytes() int {
	return proto.Size(&peerpb.ChunkRequest{
		Version: "model-name-2026-12-03", Index: 1 << 19, Digest: make([]byte, len(core.Digest{})),
		WaitMs: 8000, Requester: "vm-0000000000", RequesterRegion: "lower-mainland",
	})
}

func printCapacity(options experiment.Options, result CapacityResult) {
	out := options.Out
	fmt.Fprintf(out, "chunk_owner, seed %d, 14 zones in 6 regions.\n", options.Seed)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "members\tchunks\tstate bytes\tlist change us\t")
	for _, row := range result.State {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.0f\t\n", row.Members, row.Chunks, row.Bytes, row.MembersChangedMicros)
	}
	table.Flush()
	fmt.Fprintf(out, "State: %.0f bytes a member, %.1f bytes a chunk. One chunk request: %d bytes encoded.\n\n",
		result.BytesPerMember, result.BytesPerChunk, result.RequestBytes)
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "N\trequests sent and served a chunk\tpolicy calls a chunk\tpolicy us a chunk\tmost in flight\t")
	for _, row := range result.Runs {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.1f\t%d\t\n", row.Shape.Machines, row.MessagesPerChunk, row.StepsPerChunk, row.CPUPerChunk, row.MaxInFlight)
	}
	table.Flush()
}
