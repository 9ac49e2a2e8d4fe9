package activation

import "time"

// onVM runs a function of the agent's processes now, or after the suspension of the VM.
func (s *stagingSimulation) onVM(do func()) {
	if s.agent.suspended {
		s.agent.backlog = append(s.agent.backlog, do)
		return
	}
	do()
}

// later runs a function of the agent's processes after a wait.
func (s *stagingSimulation) later(wait time.Duration, do func()) {
	s.clock.After(wait, func() { s.onVM(do) })
}

func (s *stagingSimulation) suspend(span time.Duration) {
	if s.agent.suspended {
		return
	}
	s.agent.suspended = true
	s.log("the VM is suspended for %s", span)
	s.clock.After(span, s.resume)
}

// resume continues the suspended goroutines in any order.
func (s *stagingSimulation) resume() {
	if !s.agent.suspended {
		return
	}
	s.log("the VM goes on")
	s.agent.suspended = false
	backlog := s.agent.backlog
	s.agent.backlog = nil
	s.random.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, do := range backlog {
		s.later(s.between(0, 3*time.Millisecond), do)
	}
}

// mayBeSuspended suspends the VM with a small chance, between two steps of a goroutine.
func (s *stagingSimulation) mayBeSuspended() {
	if s.faultOccurs(suspensions, 1) && s.random.IntN(4) == 0 {
		s.suspend(s.ms(100, 8000))
	}
}

// post queues an event of the updater's loop.
func (s *stagingSimulation) post(do func()) {
	s.agent.queue = append(s.agent.queue, do)
	s.pump()
}

func (s *stagingSimulation) pump() {
	a := s.agent
	for !a.busy && len(a.queue) > 0 {
		first := a.queue[0]
		a.queue = a.queue[1:]
		first()
		s.selectVersion()
		if !a.busy {
			s.advance()
		}
		s.mayBeSuspended()
		if a.suspended && len(a.queue) > 0 {
			s.onVM(s.pump)
			return
		}
	}
}

func (s *stagingSimulation) postEvent(e Event) { s.post(func() { s.step(e) }) }
