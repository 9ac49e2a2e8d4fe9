package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Memory is the memory of an item that a process stores.
type Memory struct {
	Name  string  `json:"name"`
	Items int     `json:"items"`
	Bytes float64 `json:"bytesPerItem"`
}

const (
	queuedCalls      = 2000
	storedClaims     = 20_000
	catalogueObjects = 1000
)

func measureMemory(quick bool) []Memory {
	keys := storedClaims
	if quick {
		keys /= quickWorkDivisor
	}
	return []Memory{memoryOfEvents(), memoryOfCalls(), memoryOfClaims(keys), memoryOfCatalogue()}
}

// memoryPerItem returns the memory of the result of build divided by items.
func memoryPerItem(name string, items int, build func() any) Memory {
	before := heapBytes()
	kept := build()
	used := heapBytes() - before
	runtime.KeepAlive(kept)
	return Memory{Name: name, Items: items, Bytes: used / float64(items)}
}

func memoryOfEvents() Memory {
	return memoryPerItem("event of the time line", node.TimelineCapacity, func() any {
		recorder := timeline.NewRecorder(hlc.New(time.Now), sender, zoneName(0), node.TimelineCapacity)
		for i := range node.TimelineCapacity {
			recorder.Add(timeline.KindRoute, core.RequestID(fmt.Sprintf("00000000-0000-0000-0000-%012d", i)), receiver, "Attempt sent.")
		}
		return recorder
	})
}

// memoryOfCalls measures calls that wait at the gate, without the stacks of their
// goroutines.
func memoryOfCalls() Memory {
	return memoryPerItem("call that waits at the gate", queuedCalls, func() any {
		queue := gate.NewQueue(queuedCalls)
		for i := range queuedCalls {
			queue.Push(time.Now(), gate.Ticket{ID: uint64(i), Request: gate.Request{Team: "desk"}}, queuedCalls)
		}
		return queue
	})
}

// memoryOfClaims measures the keys in a ledger after their calls have ended.
func memoryOfClaims(keys int) Memory {
	return memoryPerItem("remembered claim", keys, func() any {
		store := &discardStore{}
		config := claims.Config{WriteRate: 1e6, WriteBurst: 1e6, ProcessWriteRate: 1e6, ProcessWriteBurst: 1e6}
		ledger := claims.NewGrouped(claims.Options{Self: "desk", Incarnation: 1, Store: store}, config)
		answer := func(context.Context) (*claims.Answer, *core.Refusal) { return &claims.Answer{Status: 200}, nil }
		for i := range keys {
			call := claims.Call{Service: serviceName, Key: fmt.Sprintf("order-%08d", i), Fingerprint: core.DigestOf([]byte{byte(i)})}
			if _, refusal := ledger.Run(context.Background(), call, answer); refusal != nil {
				panic("capacity: claim rejected: " + refusal.Error())
			}
		}
		return ledger
	})
}

// discardStore accepts every write and stores nothing.
type discardStore struct{}

var _ claims.Store = (*discardStore)(nil)

// Get implements claims.Store.
func (s *discardStore) Get(context.Context, string) ([]byte, uint64, error) { return nil, 0, nil }

// CompareAndSwap implements claims.Store.
func (s *discardStore) CompareAndSwap(_ context.Context, _ string, _ []byte, previous uint64) (uint64, bool, error) {
	return previous + 1, true, nil
}

func memoryOfCatalogue() Memory {
	set := catalogueOf(catalogueObjects)
	doc, err := documentWithHistory(set)
	if err != nil {
		panic(err.Error())
	}
	data, err := doc.Encode()
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return memoryPerItem("object of the catalogue, with its index", catalogueObjects, func() any {
		decoded := mustDecode(data)
		return struct {
			set   *catalogue.Set
			index *catalogue.Index
		}{&decoded.Set, catalogue.NewIndex(&decoded.Set)}
	})
}

// Messages holds the encoded sizes, in bytes, of messages of the request path and of
// reports.
type Messages struct {
	EndpointState int `json:"endpointState"`
	// LoadOnly is a state reduced to a VM number, the sequence and the load. ChunksHeld
	// takes the place of the number, for which EndpointState has no field.
	LoadOnly     int `json:"loadOnly"`
	CallRequest  int `json:"callRequest1KBBody"`
	CallToken    int `json:"callToken"`
	CallEnd      int `json:"callEnd"`
	ChunkRequest int `json:"chunkRequest"`
	EmptyReport  int `json:"emptyReport"`
}

func measureMessages() Messages {
	end := &peerpb.CallEvent{End: &peerpb.CallEnd{Load: &peerpb.EndpointLoad{InFlight: 5, Limit: largeLimit, Queued: 1}}}
	return Messages{
		EndpointState: proto.Size(endpointState(1300, endpointIP, 100_000)),
		LoadOnly:      proto.Size(&peerpb.EndpointState{Sequence: 100_000, ChunksHeld: 1300, Load: &peerpb.EndpointLoad{InFlight: 5, Limit: largeLimit, Queued: 1}}),
		CallRequest:   proto.Size(callRequest(1024)),
		CallToken:     proto.Size(tokenEvent(100)),
		CallEnd:       proto.Size(end),
		ChunkRequest:  proto.Size(&peerpb.ChunkRequest{Version: versionName, Index: 1 << 19, Digest: make([]byte, len(core.Digest{})), WaitMs: 8000, Requester: receiver, RequesterRegion: string(regionName(1))}),
		EmptyReport: proto.Size(&peerpb.Knowledge{
			From: receiver, Clock: firstIncarnation, ConfigRevision: 70_000, VmsRevision: 70_000, Zone: string(zoneName(1)), FromEntry: true, Incarnation: firstIncarnation,
		}),
	}
}

func callRequest(bodyBytes int) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		RequestId: "00000000-0000-0000-0000-000000000000", Attempt: 1, Pool: poolName, Method: "POST", Path: "/v1/chat/completions",
		Body: make([]byte, bodyBytes), RemainingMs: 60_000, Priority: 1, Team: "desk", Idempotent: true, PrefixHashes: []uint64{1, 2, 3, 4},
	}
}
