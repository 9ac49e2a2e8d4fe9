package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// StateMessage is what one full message of endpoint states costs.
type StateMessage struct {
	Endpoints int `json:"endpoints"`
	// MessageBytes is the encoded size of a message with all states.
	MessageBytes int `json:"messageBytes"`
	// StateBytes is the memory of the merged states of one process.
	StateBytes float64 `json:"stateBytes"`
	// The processor time of each step, for the whole message.
	BuildMicros  float64 `json:"buildMicroseconds"`
	EncodeMicros float64 `json:"encodeMicroseconds"`
	DecodeMicros float64 `json:"decodeMicroseconds"`
	MergeMicros  float64 `json:"mergeMicroseconds"`
	AliveMicros  float64 `json:"aliveMicroseconds"`
}

const (
	knowledgeWork  = 400_000
	memoryRepeats  = 8
	receiver       = "yard-zone-01-entry-001"
	sender         = "yard-zone-00-entry-000"
	merger         = "yard-zone-02-entry-002"
	quickWorkShare = 10
)

func measureKnowledge(quick bool) []StateMessage {
	var rows []StateMessage
	sizes := []int{10, 100, 164, 1000, 2300}
	if quick {
		sizes = sizes[:3]
	}
	for _, endpoints := range sizes {
		count := max(4, knowledgeWork/endpoints)
		if quick {
			count = max(4, count/quickWorkShare)
		}
		rows = append(rows, measureKnowledgeOf(endpoints, min(count, 4000)))
	}
	return rows
}

func measureKnowledgeOf(endpoints, count int) StateMessage {
	now := time.Now()
	state := membership.New(sender)
	state.Merge(now, &peerpb.Knowledge{From: "source", Endpoints: endpointStates(endpoints, endpointIP, 1)})
	full := membership.Receiver{ID: receiver, WantsEndpoints: true, Joining: true}
	message := state.Build(full).Message
	data := encode(message)
	row := StateMessage{Endpoints: endpoints, MessageBytes: len(data), StateBytes: knowledgeMemory(data)}
	row.BuildMicros = microseconds(count, func() { state.Build(full) })
	row.EncodeMicros = microseconds(count, func() { encode(message) })
	row.DecodeMicros = microseconds(count, func() { decode(data) })
	row.AliveMicros = microseconds(count, func() { state.Alive(now) })
	merged := membership.New(merger)
	sequence := uint64(1)
	row.MergeMicros = microseconds(count, func() {
		sequence++
		for _, s := range message.Endpoints {
			s.Sequence = sequence
		}
		merged.Merge(now, message)
	})
	return row
}

// knowledgeMemory is the memory of the states of one process that got them in a message.
func knowledgeMemory(data []byte) float64 {
	states := make([]*membership.State, memoryRepeats)
	before := heapBytes()
	for i := range states {
		states[i] = membership.New(merger)
		states[i].Merge(time.Now(), decode(data))
	}
	used := heapBytes() - before
	runtime.KeepAlive(states)
	return used / memoryRepeats
}

func encode(message *peerpb.Knowledge) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("capacity: encode: %v", err))
	}
	return data
}

func decode(data []byte) *peerpb.Knowledge {
	message := &peerpb.Knowledge{}
	if err := proto.Unmarshal(data, message); err != nil {
		panic(fmt.Sprintf("capacity: decode: %v", err))
	}
	return message
}
