package claims

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// directMachine starts every call at once, like the ledger "direct".
type directMachine struct {
	waiting map[keyHash][]uint64
	ended   map[uint64]bool
}

func buildDirect(core.VMID, uint64, *rand.Rand) machine {
	return &directMachine{waiting: map[keyHash][]uint64{}, ended: map[uint64]bool{}}
}

func (d *directMachine) nextWake() time.Time { return time.Time{} }

func (d *directMachine) step(_ time.Time, e event) []action {
	switch e := e.(type) {
	case submit:
		d.waiting[e.key] = append(d.waiting[e.key], e.token)
		return []action{start{token: e.token, key: e.key}}
	case abandon:
		d.ended[e.token] = true
		return []action{reply{token: e.token, refusal: core.Unknown(core.ReasonDeadline, 0, "")}}
	case finished:
		return d.finish(e)
	}
	return nil
}

func (d *directMachine) finish(e finished) []action {
	var out []action
	for _, token := range d.waiting[e.key] {
		if !d.ended[token] {
			d.ended[token] = true
			out = append(out, reply{token: token, answer: e.answer, refusal: e.refusal})
		}
	}
	d.waiting[e.key] = nil
	return out
}

const leaseDuration = 500 * time.Millisecond

// leaseRecord is the stored lease on the partition of a leaseMachine.
type leaseRecord struct {
	Owner core.VMID
	Until int64
}

// leaseMachine owns its partition by a lease that it checks before each start, and
// keeps keys in memory only.
type leaseMachine struct {
	directMachine
	self      core.VMID
	now       time.Time
	until     time.Time
	busy      bool
	queue     []submit
	known     map[keyHash]bool
	out       []action
	seen      leaseRecord
	requested time.Time
}

func buildLease(vm core.VMID, _ uint64, _ *rand.Rand) machine {
	return &leaseMachine{
		directMachine: directMachine{waiting: map[keyHash][]uint64{}, ended: map[uint64]bool{}},
		self:          vm, known: map[keyHash]bool{},
	}
}

func (l *leaseMachine) nextWake() time.Time {
	if len(l.queue) > 0 && !l.busy {
		return l.now.Add(20 * time.Millisecond)
	}
	return time.Time{}
}

func (l *leaseMachine) step(now time.Time, e event) []action {
	l.now, l.out = now, nil
	switch e := e.(type) {
	case submit:
		l.queue = append(l.queue, e)
	case abandon:
		l.abandon(e)
	case finished:
		l.out = append(l.out, l.finish(e)...)
	case headLoaded:
		l.loaded(e)
	case headSwapped:
		l.busy = false
		if e.err == nil && e.swapped {
			l.until = l.requested
		}
	}
	l.serve()
	return l.out
}

func (l *leaseMachine) abandon(e abandon) {
	queue := l.queue
	l.queue = nil
	for _, s := range queue {
		if s.token == e.token {
			l.out = append(l.out, reply{token: e.token, refusal: core.NotRun(core.ReasonDeadline, 0, "")})
			l.ended[e.token] = true
			continue
		}
		l.queue = append(l.queue, s)
	}
	if !l.ended[e.token] {
		l.out = append(l.out, l.directMachine.step(l.now, e)...)
	}
}

func (l *leaseMachine) loaded(e headLoaded) {
	l.busy = false
	if e.err != nil {
		return
	}
	l.seen = leaseRecord{}
	_ = json.Unmarshal(e.value, &l.seen)
	if l.seen.Owner != l.self && l.now.UnixNano() < l.seen.Until {
		return
	}
	l.requested = l.now.Add(leaseDuration)
	value, _ := json.Marshal(leaseRecord{Owner: l.self, Until: l.requested.UnixNano()})
	l.busy = true
	l.out = append(l.out, swapHead{value: value, previous: e.revision})
}

// serve starts the queued calls while the lease is valid, and renews the lease
// otherwise.
func (l *leaseMachine) serve() {
	if len(l.queue) == 0 || l.busy {
		return
	}
	if !l.now.Before(l.until) {
		l.busy = true
		l.out = append(l.out, loadHead{})
		return
	}
	for _, s := range l.queue {
		if l.known[s.key] {
			l.ended[s.token] = true
			l.out = append(l.out, reply{token: s.token, refusal: core.Unknown(core.ReasonKeyUsed, 0, "")})
			continue
		}
		l.known[s.key] = true
		l.out = append(l.out, l.directMachine.step(l.now, s)...)
	}
	l.queue = nil
}
