package engine

import (
	"container/heap"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// job is one stream in the queue or in the batch.
type job struct {
	id       string
	priority int
	sequence uint64
	running  bool
	// admitted closes when the job enters the batch.
	admitted chan struct{}
	// cut closes when the engine falls; canceled when the caller cancels.
	cut      chan struct{}
	canceled chan struct{}
}

// queue orders waiting jobs by priority, then by arrival.
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

// batch is the streams of one life of the engine. Server.mu guards it.
type batch struct {
	jobs     map[*job]bool
	waiting  queue
	running  int
	answered int
	sequence uint64
}

func newBatch() batch { return batch{jobs: map[*job]bool{}} }

// bears returns how many streams the engine can run; Server.mu is held.
func (s *Server) bears() int {
	return min(s.config.MaxBatch, s.config.ColdBatch+s.batch.answered/s.config.AnswersPerSlot)
}

// entry is the engine's decision on a new stream.
type entry uint8

const (
	entryAdmitted entry = iota
	entryNotReady
	entryFull
	entryFell
)

// enter puts a stream into the queue; it may make a cold engine fall over.
func (s *Server) enter(j *job) entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != engine.StateReady {
		return entryNotReady
	}
	bears := s.bears()
	offered := len(s.batch.jobs) + 1
	if bears < s.config.MaxBatch && float64(offered) > float64(bears)*s.config.Tolerance {
		s.stats.Crashes++
		s.restart(s.config.FailTime)
		return entryFell
	}
	if len(s.batch.waiting) >= s.config.QueueLimit {
		return entryFull
	}
	s.stats.Started++
	s.batch.sequence++
	j.sequence = s.batch.sequence
	s.batch.jobs[j] = true
	heap.Push(&s.batch.waiting, j)
	s.admit()
	return entryAdmitted
}

// admit moves waiting streams into the batch; s.mu is held.
func (s *Server) admit() {
	for s.state == engine.StateReady && s.batch.running < s.bears() && len(s.batch.waiting) > 0 {
		j := heap.Pop(&s.batch.waiting).(*job)
		j.running = true
		s.batch.running++
		close(j.admitted)
	}
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.batch.running)
	s.reports.record(time.Now(), s.batch.running, len(s.batch.waiting))
}

// leave takes a stream out of the queue or batch.
func (s *Server) leave(j *job, answered bool) {
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

// restart cuts every stream and starts the engine anew, cold, after down; s.mu is held.
func (s *Server) restart(down time.Duration) {
	for j := range s.batch.jobs {
		close(j.cut)
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
		s.comeBack(boot)
		return
	}
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.comeBack(boot)
	})
}

// comeBack ends the restart that gave the engine the start number boot; s.mu is held.
func (s *Server) comeBack(boot uint64) {
	if s.boot != boot || s.state != engine.StateFailed {
		return
	}
	s.state = engine.StateReady
	if s.weights == nil {
		s.state = engine.StateEmpty
	}
}

// serve takes new weights into use, cold; s.mu is held.
func (s *Server) serve(weights *loaded) {
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

// tokenInterval returns the time between tokens in the present batch.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.config.TokenInterval) + time.Duration(s.batch.running-1)*max(0, s.config.TokenPerStream)
}
