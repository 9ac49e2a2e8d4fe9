package transfer

import (
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/peerpb"
)

// slotQueue grants a fixed number of upload slots in FIFO order.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	waiting []chan struct{}
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{free: slots} }

// acquire waits for a slot and sends the peer heartbeats meanwhile.
func (q *slotQueue) acquire(stream peerpb.Endpoint_FetchChunkServer) (*uploadSlot, error) {
	granted := q.enqueue()
	if err := waitWithHeartbeat(stream.Context(), granted, stream); err != nil {
		q.cancel(granted)
		return nil, err
	}
	slot := &uploadSlot{queue: q}
	slot.timer = time.AfterFunc(slotStallTimeout, slot.release)
	return slot, nil
}

// enqueue returns a channel that is closed when the caller has a slot.
func (q *slotQueue) enqueue() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	granted := make(chan struct{})
	if q.free > 0 {
		q.free--
		close(granted)
		return granted
	}
	q.waiting = append(q.waiting, granted)
	return granted
}

// cancel gives up the place in the queue, or the slot when it was granted
// meanwhile.
func (q *slotQueue) cancel(granted chan struct{}) {
	q.mu.Lock()
	for i, waiting := range q.waiting {
		if waiting == granted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.mu.Unlock()
			return
		}
	}
	q.mu.Unlock()
	q.release()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	close(q.waiting[0])
	q.waiting = q.waiting[1:]
}

// uploadSlot is the permission to send one chunk. It is released early when the
// receiver reads nothing for slotStallTimeout, so that unresponsive peers do
// not occupy slots.
type uploadSlot struct {
	once  sync.Once
	queue *slotQueue
	timer *time.Timer
}

func (s *uploadSlot) pause()    { s.timer.Stop() }
func (s *uploadSlot) progress() { s.timer.Reset(slotStallTimeout) }

func (s *uploadSlot) release() {
	s.once.Do(func() {
		s.timer.Stop()
		s.queue.release()
	})
}
