package faulttest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// joinLimit is the time within which a VM started in a partitioned zone must serve.
const joinLimit = 15 * time.Second

// Guards against an endpoint VM that cannot start in a zone partitioned from the
// platform, the origin and all other zones. It has to get the configuration and the
// weights from its peers.
func TestAnEndpointStartedInACutOffZoneServesWeightsFromItsPeers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZones(t)
	c.partition("c")
	joining := c.addEngine("c", "main", "-warm")
	c.partition("c")
	started := time.Now()
	c.waitHTTP(joining.url + "/control/status")
	c.eventually(joinLimit, "weights on the joining endpoint", func() bool {
		var status struct{ Version string }
		c.getJSON(joining.url+"/control/status", &status)
		return status.Version == "v1"
	})
	t.Logf("the joining endpoint has loaded the version after %s", time.Since(started).Round(time.Millisecond))
	before := c.servedInZone("c")
	c.eventually(joinLimit, "answer from the joining endpoint", func() bool {
		g.Expect(chat(c.entries[2], "Born in the cut.", 3).complete).To(BeTrue())
		var stats struct{ Served int }
		c.getJSON(joining.url+"/admin/stats", &stats)
		return stats.Served > 0
	})
	g.Expect(c.servedInZone("c")).To(BeNumerically(">", before))
}
