package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// events reads the timeline of one process. The peer address addr may be that of a
// relay.
func events(t *testing.T, addr string, filter *peerpb.TimelineRequest) []timeline.Event {
	t.Helper()
	conn, err := peers.NewPool("", peers.Security{Key: peerKey}).Get(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := conn.Peer().Timeline(ctx, filter)
	if err != nil {
		t.Fatal(err)
	}
	var list []timeline.Event
	decoder := json.NewDecoder(bytes.NewReader(reply.GetJson()))
	for decoder.More() {
		var e timeline.Event
		if err := decoder.Decode(&e); err != nil {
			t.Fatal(err)
		}
		list = append(list, e)
	}
	return list
}

// requestTimeline merges the timelines of all processes for one request.
func (c *cluster) requestTimeline(request string) []timeline.Event {
	c.t.Helper()
	var lists [][]timeline.Event
	for _, vm := range c.vms {
		lists = append(lists, events(c.t, vm.PeerAddr, &peerpb.TimelineRequest{Request: request}))
	}
	return timeline.Merge(lists...)
}

// logTimeline writes the timeline of one request to the test log.
func (c *cluster) logTimeline(request string) {
	c.t.Helper()
	for _, e := range c.requestTimeline(request) {
		c.t.Logf("%s %-12s %-8s %-12s %s", e.Stamp.Time().Format("15:04:05.000"), e.Process, e.Kind, e.Object, e.Text)
	}
}
