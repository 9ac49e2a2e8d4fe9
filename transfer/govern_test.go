package transfer_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/transfer"
)

func TestSlowRoundTripsSlowTheRegionLink(t *testing.T) {
	g := NewWithT(t)
	var probes atomic.Int64
	c := startCluster(t, grid(2, 1, 2), func(config *transfer.Config) {
		config.RegionRate, config.RegionSlack = 2<<20, 5*time.Millisecond
		config.Probe = func(context.Context, core.VMID) error {
			if probes.Add(1) > 6 {
				time.Sleep(15 * time.Millisecond)
			}
			return nil
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range c.nodes {
		go func() { _ = n.spreader.Govern(ctx) }()
	}
	before, _ := strconv.Atoi(counter("region_slowed"))
	data, m := weights("v1", 40, 16)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	after, _ := strconv.Atoi(counter("region_slowed"))
	g.Expect(after).To(BeNumerically(">", before))
}
