package claims

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
)

func TestHomesAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []core.VMID
		for i := range rapid.IntRange(1, 20).Draw(t, "vms") {
			live = append(live, core.VMID(fmt.Sprintf("vm-%d-%d", i, rapid.Uint8().Draw(t, "name"))))
		}
		assigned := map[core.VMID]int{}
		for _, home := range Homes("desk", live) {
			assigned[home]++
		}
		for _, vm := range live {
			if share := PartitionCount / len(live); assigned[vm] < share || assigned[vm] > share+1 {
				t.Fatalf("%s owns %d of %d partitions with %d VMs", vm, assigned[vm], PartitionCount, len(live))
			}
		}
	})
}

func TestHomeIsTheHomeOfThePartition(t *testing.T) {
	g := NewWithT(t)
	live := []core.VMID{"b", "a", "c"}
	g.Expect(Home("desk", "k", live)).To(Equal(Homes("desk", []core.VMID{"a", "b", "c"})[Partition("k")]))
	g.Expect(Home("desk", "k", nil)).To(BeEmpty())
}

func TestKeyTimeIsReadFromVersion7Only(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_750_000_000_000)
	timed := fmt.Sprintf("%012x", now.UnixMilli())
	v7 := fmt.Sprintf("%s-%s-7abc-8def-0123456789ab", timed[:8], timed[8:])
	g.Expect(keyTime(v7, now)).To(Equal(now.UnixMilli()))
	g.Expect(keyTime(v7, now.Add(-time.Hour))).To(BeZero(), "a time in the future is not used")
	g.Expect(keyTime("9b2f0c6e-6c1e-4d57-9d55-0f1a2b3c4d5e", now)).To(BeZero())
	g.Expect(keyTime("order 17", now)).To(BeZero())
}
