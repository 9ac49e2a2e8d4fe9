package peers

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

// Guards against frames that are missed or counted twice when they arrive in several parts.
func TestDataFramesAreFoundHoweverTheyArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := make([]byte, prefaceBytes)
		var wantFrames, wantSize int64
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			kind := rapid.SampledFrom([]byte{typeData, 1, 4, 8}).Draw(t, "type")
			size := rapid.IntRange(0, 70_000).Draw(t, "size")
			head := binary.BigEndian.AppendUint32(nil, uint32(size))[1:]
			stream = append(append(stream, head...), kind, 0, 0, 0, 0, 1)
			stream = append(stream, make([]byte, size)...)
			if kind == typeData {
				wantFrames++
				wantSize += int64(size)
			}
		}
		var s frameScanner
		var frames, size int64
		for rest := stream; len(rest) > 0; {
			n := min(rapid.OneOf(rapid.IntRange(1, 12), rapid.IntRange(1, 40_000)).Draw(t, "part"), len(rest))
			f, d := s.scan(rest[:n])
			frames, size, rest = frames+f, size+d, rest[n:]
		}
		if frames != wantFrames || size != wantSize {
			t.Fatalf("%d frames with %d bytes, want %d with %d", frames, size, wantFrames, wantSize)
		}
	})
}
