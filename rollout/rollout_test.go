package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/rollout"
)

// model is a pool whose members see each other's phases with a delay below ViewDelay.
type model struct {
	ids    []core.VMID
	phase  []rollout.Phase
	since  []int
	done   []bool
	past   [][]rollout.Phase
	delays [][]int
}

// stepTime is the duration of one step of the model.
const stepTime = 250 * time.Millisecond

const (
	announceSteps = int(rollout.AnnounceTime / stepTime)
	delaySteps    = int(rollout.ViewDelay / stepTime)
)

func (m *model) view(self, now int) []rollout.Member {
	members := make([]rollout.Member, len(m.ids))
	for i, id := range m.ids {
		seen := m.past[max(0, now-m.delays[self][i])][i]
		if i == self {
			seen = m.phase[i]
		}
		members[i] = rollout.Member{ID: id, Phase: seen}
	}
	return members
}

func TestNeverMoreThanTheLimitChangeAtOnceAndAllChangeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		m := &model{phase: make([]rollout.Phase, size), since: make([]int, size), done: make([]bool, size)}
		ready, switchSteps := make([]int, size), make([]int, size)
		for i := range size {
			m.ids = append(m.ids, core.VMID(fmt.Sprint("vm", i)))
			ready[i] = rapid.IntRange(0, 40).Draw(t, "ready")
			switchSteps[i] = rapid.IntRange(1, 10).Draw(t, "takes")
			m.delays = append(m.delays, rapid.SliceOfN(rapid.IntRange(0, delaySteps-1), size, size).Draw(t, "delays"))
		}
		for now := 0; now < 1000; now++ {
			m.past = append(m.past, append([]rollout.Phase{}, m.phase...))
			remaining := 0
			for i := range size {
				m.move(i, now, ready[i], switchSteps[i], limit)
				if !m.done[i] {
					remaining++
				}
			}
			if n := m.switching(); n > limit {
				t.Fatalf("step %d: %d endpoints switch at once, limit %d", now, n, limit)
			}
			if remaining == 0 {
				return
			}
		}
		t.Fatal("the rollout does not end")
	})
}

func (m *model) move(i, now, ready, switchSteps, limit int) {
	switch {
	case m.done[i]:
	case m.phase[i] == rollout.PhaseNone && now >= ready:
		m.phase[i], m.since[i] = rollout.PhaseWaiting, now
	case m.phase[i] == rollout.PhaseWaiting && now-m.since[i] >= announceSteps:
		if rollout.MaySwitch(m.ids[i], "v2", m.view(i, now), limit) {
			m.phase[i], m.since[i] = rollout.PhaseSwitching, now
		}
	case m.phase[i] == rollout.PhaseSwitching && now-m.since[i] >= switchSteps:
		m.phase[i], m.done[i] = rollout.PhaseNone, true
	}
}

func (m *model) switching() int {
	count := 0
	for _, p := range m.phase {
		if p == rollout.PhaseSwitching {
			count++
		}
	}
	return count
}

func TestLimitIsAQuarterRoundedUpUnlessDeclared(t *testing.T) {
	g := NewWithT(t)
	g.Expect(rollout.Limit(0, 1)).To(Equal(1))
	g.Expect(rollout.Limit(0, 5)).To(Equal(2))
	g.Expect(rollout.Limit(3, 5)).To(Equal(3))
}
