// Package delta encodes a text as a delta against a base text: a sequence of
// pieces that are either copied from the base or literal. Texts are split after
// commas and closing braces, so the delta for a change of one object in a JSON
// document has about the size of that object. The encoding works for any two
// texts, JSON or not. The package performs no I/O.
package delta

import (
	"bytes"
	"errors"
	"fmt"
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Errors wrapped by the errors of Apply.
var (
	// ErrBase means that the change was made against a different base.
	ErrBase = errors.New("delta: change has a different base")
	// ErrPiece means that a piece exceeds the base or that the result exceeds
	// the limit.
	ErrPiece = errors.New("delta: malformed piece")
	// ErrDigest means that the result differs from the sender's target text.
	ErrDigest = errors.New("delta: digest of the result does not match")
)

// Hash returns the hash that identifies text as a base. It is never 0.
func Hash(text []byte) uint64 { return max(1, xxh3.Hash(text)) }

// Make returns the change from base to target.
func Make(base, target []byte) *peerpb.DocumentChange {
	digest := core.DigestOf(target)
	change := &peerpb.DocumentChange{Base: Hash(base), Digest: digest[:]}
	offsets := indexSegments(base)
	// end is the offset in base at which the last copied piece ends.
	end := 0
	for segment := range segments(target) {
		at := offsets.next(segment, end)
		if at < 0 {
			addText(change, segment)
			continue
		}
		addCopy(change, at, len(segment))
		end = at + len(segment)
	}
	return change
}

// addText appends a literal to the change. It extends the last piece if that is
// a literal.
func addText(change *peerpb.DocumentChange, text []byte) {
	if last := lastPiece(change); last != nil && last.GetLength() == 0 {
		last.Text = append(last.Text, text...)
		return
	}
	change.Pieces = append(change.Pieces, &peerpb.DocumentPiece{Text: bytes.Clone(text)})
}

// addCopy appends a copy of base[at:at+length] to the change. It extends the
// last piece if that is a copy which ends at that offset.
func addCopy(change *peerpb.DocumentChange, at, length int) {
	if last := lastPiece(change); last != nil && last.GetLength() > 0 && int(last.GetOffset()+last.GetLength()) == at {
		last.Length += uint32(length)
		return
	}
	change.Pieces = append(change.Pieces, &peerpb.DocumentPiece{Offset: uint32(at), Length: uint32(length)})
}

func lastPiece(change *peerpb.DocumentChange) *peerpb.DocumentPiece {
	if len(change.GetPieces()) == 0 {
		return nil
	}
	return change.GetPieces()[len(change.GetPieces())-1]
}

// Apply applies change to base and returns the target text. The error wraps ErrBase,
// ErrPiece or ErrDigest if the change does not fit base, is malformed or yields
// more than limit bytes, or yields a text with a different digest.
func Apply(base []byte, change *peerpb.DocumentChange, limit int) ([]byte, error) {
	if hash := Hash(base); hash != change.GetBase() {
		return nil, fmt.Errorf("%w: %x, want %x", ErrBase, change.GetBase(), hash)
	}
	var target []byte
	for i, piece := range change.GetPieces() {
		part := piece.GetText()
		if piece.GetLength() > 0 {
			from, to := uint64(piece.GetOffset()), uint64(piece.GetOffset())+uint64(piece.GetLength())
			if to > uint64(len(base)) {
				return nil, fmt.Errorf("%w %d: bytes %d to %d of %d", ErrPiece, i, from, to, len(base))
			}
			part = base[from:to]
		}
		if len(target)+len(part) > limit {
			return nil, fmt.Errorf("%w %d: more than %d bytes", ErrPiece, i, limit)
		}
		target = append(target, part...)
	}
	if digest := core.DigestOf(target); !bytes.Equal(digest[:], change.GetDigest()) {
		return nil, fmt.Errorf("%w: digest is %s", ErrDigest, digest)
	}
	return target, nil
}

// segments yields the segments of text. Each ends with a comma or closing brace,
// except possibly the last.
func segments(text []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		start := 0
		for i, c := range text {
			if c != ',' && c != '}' {
				continue
			}
			if !yield(text[start : i+1]) {
				return
			}
			start = i + 1
		}
		if start < len(text) {
			yield(text[start:])
		}
	}
}

// segmentOffsets maps each segment of a base to its offsets in ascending order.
type segmentOffsets map[string][]int

// indexSegments returns the offsets of all segments of base.
func indexSegments(base []byte) segmentOffsets {
	found := segmentOffsets{}
	at := 0
	for segment := range segments(base) {
		found[string(segment)] = append(found[string(segment)], at)
		at += len(segment)
	}
	return found
}

// next returns the first offset of segment that is at least from, else its
// first offset, or -1 if the base does not contain it.
func (o segmentOffsets) next(segment []byte, from int) int {
	offsets := o[string(segment)]
	if len(offsets) == 0 {
		return -1
	}
	if i := sort.SearchInts(offsets, from); i < len(offsets) {
		return offsets[i]
	}
	return offsets[0]
}
