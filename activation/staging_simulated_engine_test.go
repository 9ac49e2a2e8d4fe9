package activation

import (
	"fmt"
	"slices"
	"time"
)

func (s *stagingSimulation) fetch(run int, version int64, chunk int) {
	took := s.ms(5, 120)
	if s.faultOccurs(slowFetches, 10) {
		took = s.ms(100, 1200)
	}
	s.later(took, func() {
		a := s.agent
		if run != a.run {
			return
		}
		s.put(version, chunk, func() bool { return run == a.run }, func(ok bool) {
			if ok {
				s.cachedChunks(version)[chunk] = true
			}
			switch {
			case run != a.run:
			case !ok:
				s.fetch(run, version, chunk)
			default:
				a.stored[chunk] = true
				s.noteProgress(run, version)
			}
		})
	})
}

// put is agent.stagingGate.Put. wanted reports whether the caller still waits.
func (s *stagingSimulation) put(version int64, chunk int, wanted func() bool, done func(ok bool)) {
	a := s.agent
	switch {
	case !wanted(), version != a.gateVersion:
		done(false)
		return
	case a.gateClosed:
		a.gateWaiting = append(a.gateWaiting, func() { s.put(version, chunk, wanted, done) })
		s.later(stagingCallLimit, s.wakeWriters)
		return
	}
	if s.flaws.abandonsWrites {
		s.write(version, chunk, done)
		return
	}
	a.writes++
	s.write(version, chunk, func(ok bool) {
		a.writes--
		if !ok {
			a.unknownUntil = s.clock.Now().Add(stagingWriteSettle)
		}
		done(ok)
	})
}

func (s *stagingSimulation) wakeWriters() {
	waiting := s.agent.gateWaiting
	s.agent.gateWaiting = nil
	for _, do := range waiting {
		do()
	}
}

func (s *stagingSimulation) openGate() {
	if s.agent.gateClosed {
		s.agent.gateClosed = false
		s.later(s.ms(0, 1), s.wakeWriters)
	}
}

// write sends one chunk to the engine, which carries it out before stagingWriteSettle has
// passed since the agent gave up.
func (s *stagingSimulation) write(version int64, chunk int, done func(ok bool)) {
	ended, boot := false, uint64(0)
	apply := func() {
		if s.engine.boot != boot {
			return
		}
		boot = 0 // carried out once
		s.log("chunk %d of version %d is written", chunk, version)
		s.engine.staged[chunk] = stagedChunk{version: version}
	}
	end := func(ok bool) {
		if ended {
			return
		}
		ended = true
		if !ok && boot != 0 {
			s.clock.After(s.ms(0, 950), apply)
		}
		done(ok)
	}
	s.later(stagingWriteLimit, func() { end(false) })
	s.later(s.usually(slowProcess, 5, 500*time.Millisecond), func() {
		switch {
		case ended:
			return
		case s.engine.down:
			end(false)
			return
		}
		sentTo := s.engine.boot
		boot = sentTo
		if s.faultOccurs(lostWrites, 8) { // the answer is lost
			s.later(s.ms(1, 300), func() { end(false) })
		}
		s.clock.After(s.usually(slowWrites, 8, 2400*time.Millisecond), func() {
			apply()
			if s.engine.boot != sentTo {
				return
			}
			s.later(s.usually(slowAnswers, 5, 400*time.Millisecond), func() { end(true) })
		})
	})
	s.mayBeSuspended()
}

// list reads all staged chunks one by one.
func (s *stagingSimulation) list(version int64, deadline time.Time, done func(stored [stagingChunks]bool, failed bool)) {
	var stored [stagingChunks]bool
	var read func(chunk int)
	read = func(chunk int) {
		s.later(s.usually(slowReads, 3, 700*time.Millisecond), func() {
			if s.engine.down || !s.clock.Now().Before(deadline) {
				done(stored, true)
				return
			}
			got := s.engine.staged[chunk]
			stored[chunk] = got.version == version && got.rottenAt.IsZero()
			s.mayBeSuspended()
			if chunk+1 < stagingChunks {
				read(chunk + 1)
				return
			}
			s.later(s.usually(slowReads, 3, 700*time.Millisecond), func() { done(stored, false) })
		})
	}
	read(0)
}

// verify is agent.updater.verify.
func (s *stagingSimulation) verify(action VerifyStaging, deadline time.Time) {
	a, now := s.agent, s.clock.Now()
	if (a.writes > 0 || now.Before(a.unknownUntil)) && now.Before(deadline) && !s.flaws.readsDuringWrites {
		s.later(stagingWritePoll, func() { s.verify(action, deadline) })
		return
	}
	target := Target{Version: action.Manifest.Version, Digest: action.Manifest.Whole, Boot: action.Boot}
	s.list(stagingNumber(target.Version), deadline, func(stored [stagingChunks]bool, failed bool) {
		readAt := now
		if s.flaws.datesFromEnd {
			readAt = s.clock.Now()
		}
		ok := !failed && !slices.Contains(stored[:], false)
		s.log("verification of %s ends: %t, read at %.3f", target.Version, ok, float64(readAt.UnixMilli()-1_700_000_000_000)/1000)
		s.later(s.ms(0, 2), func() { s.postEvent(Verified{Target: target, OK: ok, ReadAt: readAt}) })
	})
}

// sendOrder is agent.updater.sendOrder with the engine's client.
func (s *stagingSimulation) sendOrder(o Order, at time.Time) {
	version := stagingNumber(o.Order.Version)
	ended := false
	end := func(result OrderResult, boot uint64) {
		if !ended {
			ended = true
			s.log("order %d ends with result %d", o.Order.Fence, result)
			s.later(s.ms(0, 2), func() { s.postEvent(OrderEnded{Number: o.Order.Fence, Result: result, Boot: boot}) })
		}
	}
	s.mayBeSuspended()
	s.later(s.usually(slowProcess, 15, 3500*time.Millisecond), func() {
		expired := s.clock.Now().After(at.Add(o.ValidFor))
		switch {
		case expired && !s.flaws.noVerifiedAge && !s.flaws.sendsExpired:
			end(OrderNotSent, 0)
			return
		case s.engine.down:
			end(OrderLost, 0)
			return
		}
		lost := s.faultOccurs(lostOrders, 20)
		if lost {
			s.later(s.ms(1, 1000), func() { end(OrderLost, 0) })
		}
		s.later(stagingAnswerLimit, func() { end(OrderLost, 0) })
		boot, acceptAfter := s.engine.boot, s.usually(slowAcceptance, 30, 900*time.Millisecond)
		s.clock.After(acceptAfter, func() {
			if s.engine.boot != boot {
				return
			}
			refused := !s.accept(o.Order.Fence, version)
			if lost {
				return
			}
			s.later(s.usually(slowAnswers, 10, 1500*time.Millisecond), func() {
				switch {
				case ended:
				case refused:
					end(OrderRejected, 0)
				default:
					s.awaitLoad(version, at.Add(stagingOrderLimit), end)
				}
			})
		})
	})
}

// awaitLoad is platform.Engine.awaitLoad.
func (s *stagingSimulation) awaitLoad(version int64, deadline time.Time, end func(OrderResult, uint64)) {
	e := &s.engine
	switch {
	case e.down, s.faultOccurs(failedPolls, 1), !s.clock.Now().Before(deadline):
		end(OrderUnconfirmed, 0)
	case !e.loading && e.version >= version:
		end(OrderDone, e.boot)
	default:
		s.later(stagingPoll, func() { s.awaitLoad(version, deadline, end) })
	}
}

// accept makes the engine take what is staged, and reports whether it accepts the order.
func (s *stagingSimulation) accept(number uint64, version int64) bool {
	e := &s.engine
	if e.loading || s.faultOccurs(refusedOrders, 20) {
		s.log("the engine refuses order %d for version %d", number, version)
		return false
	}
	if e.version == version {
		return true
	}
	s.log("the engine accepts order %d for version %d", number, version)
	e.accepted++
	for chunk, held := range e.staged {
		sound := held.rottenAt.IsZero() || s.clock.Now().Sub(held.rottenAt) <= stagingExcuse
		if s.violation == "" && (held.version != version || !sound) {
			s.violation = fmt.Sprintf("order %d for version %d was accepted with chunk %d of version %d, rotten: %t", number, version, chunk, held.version, !held.rottenAt.IsZero())
			s.log("VIOLATION: %s", s.violation)
		}
	}
	boot := e.boot
	e.loading = true
	s.clock.After(s.ms(50, 800), func() {
		if e.boot == boot {
			e.loading, e.version = false, version
			s.log("the engine serves version %d", version)
		}
	})
	return true
}

func (s *stagingSimulation) crash() {
	s.log("the engine crashes")
	e := &s.engine
	e.boot++
	e.version, e.loading, e.down = 0, false, true
	boot := e.boot
	s.clock.After(s.ms(50, 1500), func() {
		if e.boot == boot {
			e.down = false
		}
	})
}

func (s *stagingSimulation) rot(chunk int) {
	held := &s.engine.staged[chunk]
	if held.version > 0 && held.rottenAt.IsZero() {
		s.log("chunk %d of version %d turns bad", chunk, held.version)
		held.rottenAt = s.clock.Now()
	}
}
