package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// StateMessage is the cost of a message with the states of all endpoints.
type StateMessage struct {
	Endpoints int `json:"endpoints"`
	// MessageBytes is the encoded size of the message.
	MessageBytes int `json:"messageBytes"`
	// StateBytes is the memory of the merged states in a process.
	StateBytes float64 `json:"stateBytes"`
	// Processor time of each step for the complete message.
	BuildMicros  float64 `json:"buildMicroseconds"`
	EncodeMicros float64 `json:"encodeMicroseconds"`
	DecodeMicros float64 `json:"decodeMicroseconds"`
	MergeMicros  float64 `json:"mergeMicroseconds"`
	AliveMicros  float64 `json:"aliveMicroseconds"`
}

const (
	stateMessageWork = 400_000
	memoryRepeats    = 8
	receiver         = "yard-zone-01-entry-001"
	sender           = "yard-zone-00-entry-000"
	merger           = "yard-zone-02-entry-002"
	quickWorkDivisor = 10
)

func measureStateMessages(quick bool) []StateMessage {
	var rows []StateMessage
	sizes := []int{10, 100, 164, 1000, 2300}
	if quick {
		sizes = sizes[:3]
	}
	for _, endpoints := range sizes {
		count := max(4, stateMessageWork/endpoints)
		if quick {
			count = max(4, count/quickWorkDivisor)
		}
		rows = append(rows, measureStateMessage(endpoints, min(count, 4000)))
	}
	return rows
}

func measureStateMessage(endpoints, count int) StateMessage {
	now := time.Now()
	state := membership.New(sender)
	state.Merge(now, &peerpb.Knowledge{From: "source", Endpoints: endpointStates(endpoints, endpointIP, 1)})
	full := membership.Receiver{ID: receiver, WantsEndpoints: true, Joining: true}
	message := state.Build(full).Message
	data := encode(message)
	row := StateMessage{Endpoints: endpoints, MessageBytes: len(data), StateBytes: stateMemory(data)}
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

// stateMemory returns the memory of the states that a process has merged from a
// message.
func stateMemory(data []byte) float64 {
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
