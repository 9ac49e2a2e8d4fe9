package claims

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/zinniaseam/zinniaseam/core"
)

// claim records a key whose call was, or may have been, handed to its service.
type claim struct {
	key         keyHash
	fingerprint uint64
	// keyTime is the Unix time in milliseconds carried by the key, 0 if it has none.
	keyTime int64
	// answered is set once the complete answer of the service was received.
	answered bool
	// answer is set if the answer is short enough to be stored.
	answer *Answer
}

// commitID identifies a commit. It is unique across all processes.
type commitID struct {
	Owner       core.VMID `json:"owner"`
	Incarnation uint64    `json:"incarnation"`
	// Process is a random number that each process chooses at its start, since two
	// overlapping processes on one VM may have the same incarnation.
	Process  uint64 `json:"process"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// segmentRef refers to a sealed segment at the exact revision that holds its claims.
type segmentRef struct {
	Name     uint64 `json:"name"`
	Revision uint64 `json:"revision"`
	Count    int    `json:"count"`
	// Timed means that every key in the segment carries a time, the latest being
	// MaxTime.
	Timed   bool  `json:"timed,omitempty"`
	MaxTime int64 `json:"maxTime,omitempty"`
}

// freeName is a segment name that no head refers to any more.
type freeName struct {
	Name     uint64 `json:"name"`
	Revision uint64 `json:"revision"`
}

// head is the record of one partition in the platform's key-value service.
type head struct {
	Group commitID `json:"group"`
	// Released means that the owner has released the partition.
	Released bool `json:"released,omitempty"`
	// Floor is the Unix time in milliseconds before which keys with a time are no
	// longer remembered.
	Floor    int64        `json:"floor,omitempty"`
	Segments []segmentRef `json:"segments,omitempty"`
	Free     []freeName   `json:"free,omitempty"`
	NextName uint64       `json:"nextName,omitempty"`
	// Claims holds the recent claims in packed form.
	Claims []byte `json:"claims,omitempty"`
	// Answers holds the stored answers by index in Claims.
	Answers map[int]*Answer `json:"answers,omitempty"`
}

// owner returns the VM that owns the partition, or "".
func (h *head) owner() core.VMID {
	if h.Released {
		return ""
	}
	return h.Group.Owner
}

// segment is the content of a sealed segment.
type segment struct {
	Group  commitID `json:"group"`
	Claims []byte   `json:"claims"`
}

const (
	packedFingerprintBytes = 8
	packedTimeBytes        = 8
	packedClaimBytes       = keyHashBytes + packedFingerprintBytes + packedTimeBytes
	// answeredBit marks an answered claim in the packed key time, which needs only 48
	// bits.
	answeredBit = 1 << 63
)

// packClaims encodes claims as fixed-size records.
func packClaims(list []claim) []byte {
	out := make([]byte, 0, len(list)*packedClaimBytes)
	for _, c := range list {
		out = append(out, c.key[:]...)
		out = binary.BigEndian.AppendUint64(out, c.fingerprint)
		packed := uint64(c.keyTime)
		if c.answered {
			packed |= answeredBit
		}
		out = binary.BigEndian.AppendUint64(out, packed)
	}
	return out
}

// unpackClaims decodes the output of packClaims.
func unpackClaims(data []byte) ([]claim, error) {
	if len(data)%packedClaimBytes != 0 {
		return nil, fmt.Errorf("claims: packed claims have %d bytes, want a multiple of %d", len(data), packedClaimBytes)
	}
	list := make([]claim, 0, len(data)/packedClaimBytes)
	for ; len(data) > 0; data = data[packedClaimBytes:] {
		packed := binary.BigEndian.Uint64(data[keyHashBytes+packedFingerprintBytes:])
		list = append(list, claim{
			key:         keyHash(data[:keyHashBytes]),
			fingerprint: binary.BigEndian.Uint64(data[keyHashBytes:]),
			keyTime:     int64(packed &^ answeredBit),
			answered:    packed&answeredBit != 0,
		})
	}
	return list, nil
}

// encodeHead encodes h with the given claims.
func encodeHead(h head, list []claim) []byte {
	h.Claims = packClaims(list)
	h.Answers = map[int]*Answer{}
	for i, c := range list {
		if c.answer != nil {
			h.Answers[i] = c.answer
		}
	}
	return mustEncode(h)
}

// decodeHead decodes the output of encodeHead. Empty data, as of a missing key, yields
// an empty, released head.
func decodeHead(data []byte) (head, []claim, error) {
	var h head
	if len(data) == 0 {
		return head{Released: true}, nil, nil
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return head{}, nil, fmt.Errorf("claims: decode head: %w", err)
	}
	list, err := unpackClaims(h.Claims)
	if err != nil {
		return head{}, nil, err
	}
	for i, answer := range h.Answers {
		if i < 0 || i >= len(list) {
			return head{}, nil, fmt.Errorf("claims: decode head: answer index %d out of range for %d claims", i, len(list))
		}
		list[i].answer = answer
	}
	h.Claims, h.Answers = nil, nil
	return h, list, nil
}

func encodeSegment(group commitID, list []claim) []byte {
	return mustEncode(segment{Group: group, Claims: packClaims(list)})
}

func decodeSegment(data []byte) (commitID, []claim, error) {
	var s segment
	if err := json.Unmarshal(data, &s); err != nil {
		return commitID{}, nil, fmt.Errorf("claims: decode segment: %w", err)
	}
	list, err := unpackClaims(s.Claims)
	return s.Group, list, err
}

// mustEncode encodes a record as JSON. It panics on an error, since the records
// contain only values that JSON can represent.
func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("claims: encode record: %v", err))
	}
	return data
}
