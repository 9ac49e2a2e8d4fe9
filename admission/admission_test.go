package admission_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/core"
)

func TestAdmission(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var _ = Describe("Controller", func() {
	now := time.Unix(1_000_000, 0)
	idle := admission.Capacity{Endpoints: 2, Limit: 20, QueueCapacity: 100, ServiceTime: time.Second}
	overloaded := admission.Capacity{Endpoints: 2, Limit: 20, InFlight: 20, Queued: 30, QueueCapacity: 100, ServiceTime: time.Second}
	newController := func() *admission.Controller {
		return admission.New(admission.Config{}, rand.New(rand.NewPCG(1, 1)))
	}
	reason := func(d admission.Decision) core.Reason {
		if d.Refusal == nil {
			return ""
		}
		return d.Refusal.Reason
	}

	It("refuses only truthfully, with a retry time, and never a higher class before a lower one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := admission.Capacity{
				Endpoints: rapid.IntRange(0, 3).Draw(t, "endpoints"), Limit: rapid.IntRange(0, 30).Draw(t, "limit"),
				InFlight: rapid.IntRange(0, 40).Draw(t, "in flight"), Queued: rapid.IntRange(0, 130).Draw(t, "queued"),
				QueueCapacity: rapid.IntRange(0, 100).Draw(t, "capacity"), ServiceTime: 400 * time.Millisecond,
			}
			deadline := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
			admitted := false
			for class := core.PriorityCount; class > 0; class-- {
				d := newController().Offer(now, admission.Request{Team: "a", Priority: class - 1, Deadline: deadline}, capacity)
				if d.Refusal == nil {
					admitted = true
					continue
				}
				if admitted {
					t.Fatalf("class %s is rejected (%s) although a lower class is admitted", class-1, d.Refusal.Reason)
				}
				if d.Refusal.Kind != core.OutcomeNotRun || d.Refusal.RetryAfter <= 0 {
					t.Fatalf("refusal %+v, want outcome not_run and a retry time", d.Refusal)
				}
			}
		})
	})

	It("sheds a bursting team first and leaves the others their share", func() {
		c := newController()
		c.SetTeams(map[core.TeamID]int{"burst": 1, "calm": 3})
		for range 20 {
			Expect(c.Offer(now, admission.Request{Team: "burst", Priority: core.PriorityBriefing}, idle).Refusal).To(BeNil())
		}
		Expect(c.Offer(now, admission.Request{Team: "calm", Priority: core.PriorityBriefing}, overloaded).Refusal).To(BeNil())
		d := c.Offer(now, admission.Request{Team: "burst", Priority: core.PriorityBriefing}, overloaded)
		Expect(reason(d)).To(Equal(core.ReasonTeamShare))
		By("admitting the bursting team again once no other team is active")
		later := now.Add(10 * time.Second)
		Expect(c.Offer(later, admission.Request{Team: "burst", Priority: core.PriorityBriefing}, overloaded).Refusal).To(BeNil())
	})

	It("counts what is admitted and forgets teams beyond its bound", func() {
		c := newController()
		for i := range 2000 {
			team := core.TeamID(fmt.Sprintf("team-%d", i))
			Expect(c.Offer(now, admission.Request{Team: team}, idle).Refusal).To(BeNil())
			c.Done(team)
		}
		Expect(c.InFlight()).To(BeZero())
	})

	It("refuses work that can't make its deadline and spreads retry times", func() {
		c := newController()
		seen := map[time.Duration]bool{}
		for range 20 {
			d := c.Offer(now, admission.Request{Team: "a", Priority: core.PrioritySummary, Deadline: now.Add(time.Second)}, overloaded)
			Expect(reason(d)).To(Equal(core.ReasonDeadline))
			Expect(d.Refusal.RetryAfter).To(BeNumerically("~", 1550*time.Millisecond, 780*time.Millisecond))
			seen[d.Refusal.RetryAfter] = true
		}
		Expect(len(seen)).To(Equal(20))
		d := c.Offer(now, admission.Request{Team: "a", Priority: core.PriorityDispatch, Deadline: now.Add(time.Second)}, overloaded)
		Expect(d.Refusal).To(BeNil())
	})
})

func BenchmarkOffer(b *testing.B) {
	c := admission.New(admission.Config{}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_000_000, 0)
	capacity := admission.Capacity{Endpoints: 2, Limit: 20, InFlight: 20, Queued: 45, QueueCapacity: 100, ServiceTime: time.Second}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Offer(now, admission.Request{Team: core.TeamID(rune('a' + i%10)), Priority: core.PriorityBriefing}, capacity)
	}
}
