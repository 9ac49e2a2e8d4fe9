package spread

import (
	"container/heap"
	"time"
)

// chunkOrder is the order in which a machine fetches chunks.
//
// Load pattern: heads fetch different chunks at the same time. If they all took
// chunks of the same region first, one region link would be busy while the
// others are idle. The first chunk of each head therefore precedes the second,
// and the chunks for the different first regions alternate.
type chunkOrder struct {
	// ranks is each chunk's rank in the order, chunks is the chunk of each rank.
	ranks, chunks []int32
}

// newChunkOrder orders chunks, where each run of chunksPerHead consecutive
// ones has the same head.
func newChunkOrder(chunks, chunksPerHead int) chunkOrder {
	o := chunkOrder{ranks: make([]int32, chunks), chunks: make([]int32, 0, chunks)}
	for turn := range chunksPerHead {
		for first := 0; first < chunks; first += chunksPerHead {
			chunk := first + (turn+first/chunksPerHead)%chunksPerHead
			if chunk < chunks {
				o.ranks[chunk] = int32(len(o.chunks))
				o.chunks = append(o.chunks, int32(chunk))
			}
		}
	}
	return o
}

// chunkQueue is a priority queue of chunk indices or of ranks in a chunkOrder,
// lowest first.
type chunkQueue []int32

func (q chunkQueue) Len() int           { return len(q) }
func (q chunkQueue) Less(i, j int) bool { return q[i] < q[j] }
func (q chunkQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *chunkQueue) Push(x any) { *q = append(*q, x.(int32)) }

// Pop implements heap.Interface.
func (q *chunkQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *chunkQueue) add(rank int) { heap.Push(q, int32(rank)) }
func (q *chunkQueue) take() int    { return int(heap.Pop(q).(int32)) }

// delayedChunk is a chunk that becomes due for another attempt later.
type delayedChunk struct {
	due   time.Time
	chunk int
}

// delayQueue is a priority queue of chunks that wait for their next attempt,
// earliest first.
type delayQueue []delayedChunk

func (q delayQueue) Len() int           { return len(q) }
func (q delayQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q delayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *delayQueue) Push(x any) { *q = append(*q, x.(delayedChunk)) }

// Pop implements heap.Interface.
func (q *delayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *delayQueue) add(chunk int, due time.Time) {
	heap.Push(q, delayedChunk{due: due, chunk: chunk})
}

// takeDue removes and returns the next chunk that is due; false when none is.
func (q *delayQueue) takeDue(now time.Time) (int, bool) {
	if len(*q) == 0 || (*q)[0].due.After(now) {
		return 0, false
	}
	return heap.Pop(q).(delayedChunk).chunk, true
}

// next returns the time at which the earliest chunk is due; the zero time when
// the queue is empty.
func (q delayQueue) next() time.Time {
	if len(q) == 0 {
		return time.Time{}
	}
	return q[0].due
}
