package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Change is the cost of one configuration change for running nodes.
type Change struct {
	Entries   int `json:"entries"`
	Endpoints int `json:"endpoints"`
	Objects   int `json:"objects"`
	// DocumentBytes is the uncompressed size of the new document.
	DocumentBytes int `json:"documentBytes"`
	// WireBytes is the number of bytes on all connections beyond the usual exchange,
	// divided by the number of processes.
	WireBytes float64 `json:"wireBytesPerProcess"`
	// Seconds is the time until the change is active in all processes.
	Seconds float64 `json:"seconds"`
}

const (
	changeWarmup  = 3 * time.Second
	changeSpan    = 4 * time.Second
	changePoll    = 10 * time.Millisecond
	changeEntries = 8
	// endpointsPerEntry is the ratio of the large fleet: 2,300 endpoints, 340 entries.
	endpointsPerEntry = 7
	changedWeight     = 99
)

func measureChanges(ctx context.Context, quick bool) ([]Change, error) {
	rows := []Change{{Entries: changeEntries, Objects: 10}, {Entries: changeEntries, Objects: 100}, {Entries: changeEntries, Objects: 1000}}
	if quick {
		rows = []Change{{Entries: 2, Objects: 100}}
	}
	for i := range rows {
		rows[i].Endpoints = rows[i].Entries * endpointsPerEntry
		if err := rows[i].measure(ctx); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// measure counts bytes during a span without a change and during one that begins with
// a change of a document that all nodes store.
func (c *Change) measure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	t := &traffic{}
	list := vms(c.Entries, c.Endpoints, 1)
	listeners, err := listenAll(list, t)
	if err != nil {
		return err
	}
	nodes := make([]*node.Node, len(list))
	for i, listener := range listeners {
		nodes[i] = startNode(ctx, &running, list, i, listener, t)
	}
	base, err := documentWithHistory(catalogueOf(c.Objects))
	if err != nil {
		return err
	}
	set := base.Set
	set.Teams = []catalogue.Team{{Name: "desk", Weight: changedWeight}}
	doc, err := publish(base, &set, base.Stamp+1)
	if err != nil {
		return err
	}
	if err := kernel.Sleep(ctx, changeWarmup); err != nil {
		return err
	}
	if _, err := distribute(ctx, nodes, base); err != nil {
		return err
	}
	if err := kernel.Sleep(ctx, changeSpan); err != nil {
		return err
	}
	t.reset()
	if err := kernel.Sleep(ctx, changeSpan); err != nil {
		return err
	}
	baseline := t.wire.Swap(0)
	began := time.Now()
	if c.DocumentBytes, err = distribute(ctx, nodes, doc); err != nil {
		return err
	}
	c.Seconds = time.Since(began).Seconds()
	if err := kernel.Sleep(ctx, time.Until(began.Add(changeSpan))); err != nil {
		return err
	}
	c.WireBytes = float64(t.wire.Load()-baseline) / float64(len(nodes))
	return nil
}

// distribute sends a document to the first node, waits until it is active in all nodes
// and returns its encoded size.
func distribute(ctx context.Context, nodes []*node.Node, doc *configsync.Document) (bytes int, err error) {
	data, err := doc.Encode()
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	if _, err := nodes[0].Exchange(ctx, &peerpb.Knowledge{From: merger, Config: &peerpb.Config{Revision: doc.Revision, Json: data}}); err != nil {
		return 0, fmt.Errorf("capacity: change: %w", err)
	}
	return len(data), awaitRevision(ctx, nodes, doc.Revision, time.Now())
}

// awaitRevision waits until the revision is active in every node. It returns an error
// when changeSpan has passed since began.
func awaitRevision(ctx context.Context, nodes []*node.Node, revision uint64, began time.Time) error {
	for _, n := range nodes {
		for n.View().ConfigRevision < revision {
			if time.Since(began) > changeSpan {
				return fmt.Errorf("capacity: revision of %s is %d after %s, want %d", n.VM, n.View().ConfigRevision, changeSpan, revision)
			}
			if err := kernel.Sleep(ctx, changePoll); err != nil {
				return err
			}
		}
	}
	return nil
}
