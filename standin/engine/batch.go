package engine

import (
	"container/heap"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// job is one stream, queued or in the batch.
type job struct {
	id       string
	priority int
	sequence uint64
	running  bool
	// admitted is closed when the job enters the batch.
	admitted chan struct{}
	// aborted is closed when the engine restarts, canceled when the caller cancels.
	aborted  chan struct{}
	canceled chan struct{}
}

// queue orders waiting jobs by priority, lowest number first, then by arrival.
type queue []*job

var _ heap.Interface = (*queue)(nil)

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*job)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// batch holds the streams since the last restart of the engine. Server.mu guards it.
type batch struct {
	jobs     map[*job]bool
	waiting  queue
	running  int
	answered int
	sequence uint64
}

func newBatch() batch { return batch{jobs: map[*job]bool{}} }

// capacity returns how many streams the engine can run now; s.mu must be held. A cold
// engine starts with ColdBatch and gains a slot with every AnswersPerSlot answers.
func (s *Server) capacity() int {
	return min(s.config.MaxBatch, s.config.ColdBatch+s.batch.answered/s.config.AnswersPerSlot)
}

// admission is the engine's decision on a new stream.
type admission uint8

const (
	admissionQueued admission = iota
	admissionNotReady
	admissionQueueFull
	admissionCrashed
)

// enqueue adds a stream to the queue. A cold engine crashes if more streams are
// offered than its capacity times Tolerance.
func (s *Server) enqueue(j *job) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != engine.StateReady {
		return admissionNotReady
	}
	capacity := s.capacity()
	offered := len(s.batch.jobs) + 1
	if capacity < s.config.MaxBatch && float64(offered) > float64(capacity)*s.config.Tolerance {
		s.stats.Crashes++
		s.restart(s.config.FailTime)
		return admissionCrashed
	}
	if len(s.batch.waiting) >= s.config.QueueLimit {
		return admissionQueueFull
	}
	s.stats.Started++
	s.batch.sequence++
	j.sequence = s.batch.sequence
	s.batch.jobs[j] = true
	heap.Push(&s.batch.waiting, j)
	s.admit()
	return admissionQueued
}

// admit moves waiting streams into the batch; s.mu must be held.
func (s *Server) admit() {
	for s.state == engine.StateReady && s.batch.running < s.capacity() && len(s.batch.waiting) > 0 {
		j := heap.Pop(&s.batch.waiting).(*job)
		j.running = true
		s.batch.running++
		close(j.admitted)
	}
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.batch.running)
	s.reports.record(time.Now(), s.batch.running, len(s.batch.waiting))
}

// finish removes a stream from the queue or the batch. It does nothing if the engine
// was restarted meanwhile.
func (s *Server) finish(j *job, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.batch.jobs[j] {
		return
	}
	delete(s.batch.jobs, j)
	if j.running {
		s.batch.running--
	} else {
		s.batch.waiting.remove(j)
	}
	if answered {
		s.batch.answered++
		s.stats.Served++
	}
	s.admit()
}

func (q *queue) remove(j *job) {
	for i, waiting := range *q {
		if waiting == j {
			heap.Remove(q, i)
			return
		}
	}
}

// restart aborts every stream and restarts the engine, cold, with a new boot number.
// The engine is in the failed state for the duration down; s.mu must be held.
func (s *Server) restart(down time.Duration) {
	for j := range s.batch.jobs {
		close(j.aborted)
	}
	s.batch = newBatch()
	s.reports.record(time.Now(), 0, 0)
	s.cache.clear()
	s.boot++
	if s.config.LoseWeights {
		s.weights = nil
	}
	if s.config.LoseStaging {
		s.staging.clear()
	}
	s.state = engine.StateFailed
	boot := s.boot
	if down <= 0 {
		s.completeRestart(boot)
		return
	}
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.completeRestart(boot)
	})
}

// completeRestart ends the restart with the given boot number, unless the engine was
// restarted again; s.mu must be held.
func (s *Server) completeRestart(boot uint64) {
	if s.boot != boot || s.state != engine.StateFailed {
		return
	}
	s.state = engine.StateReady
	if s.weights == nil {
		s.state = engine.StateEmpty
	}
}

// activate replaces the served weights; the engine is cold afterwards. s.mu must be
// held.
func (s *Server) activate(weights *loadedWeights) {
	s.weights = weights
	s.state = engine.StateReady
	s.batch.answered = 0
	s.cache.clear()
}

// find returns the streams with the given ID.
func (s *Server) find(id string) []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*job
	for j := range s.batch.jobs {
		if j.id == id {
			found = append(found, j)
		}
	}
	return found
}

// tokenInterval returns the time between two tokens of a stream with the current
// batch.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.config.TokenInterval) + time.Duration(s.batch.running-1)*max(0, s.config.TokenPerStream)
}
