package spread

import (
	"container/heap"
	"time"
)

// chunkOrder is the order in which a machine takes chunks. Load pattern answered:
// heads draw different chunks at the same time. The first of each head come
// before the second, and those that go on to one region between those that go to
// the others, so that no link waits for another.
type chunkOrder struct {
	// ranks is each chunk's place in the order, chunks the chunk at each place.
	ranks, chunks []int32
}

// newChunkOrder orders chunks of which so many in a row have the same head.
func newChunkOrder(chunks, row int) chunkOrder {
	o := chunkOrder{ranks: make([]int32, chunks), chunks: make([]int32, 0, chunks)}
	for turn := range row {
		for first := 0; first < chunks; first += row {
			chunk := first + (turn+first/row)%row
			if chunk < chunks {
				o.ranks[chunk] = int32(len(o.chunks))
				o.chunks = append(o.chunks, int32(chunk))
			}
		}
	}
	return o
}

// chunkQueue hands out chunks by their indices, or by their places in an order,
// the least first.
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

func (q *chunkQueue) add(place int) { heap.Push(q, int32(place)) }
func (q *chunkQueue) take() int     { return int(heap.Pop(q).(int32)) }

// delayedChunk is wanted again at a later time.
type delayedChunk struct {
	due   time.Time
	chunk int
}

// delayQueue holds chunks that wait for their next attempt, the earliest first.
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

// takeDue removes and returns the next chunk that is due.
func (q *delayQueue) takeDue(now time.Time) (int, bool) {
	if len(*q) == 0 || (*q)[0].due.After(now) {
		return 0, false
	}
	return heap.Pop(q).(delayedChunk).chunk, true
}

// next returns when the earliest chunk is due; zero when there is none.
func (q delayQueue) next() time.Time {
	if len(q) == 0 {
		return time.Time{}
	}
	return q[0].due
}
