package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/operatorapi"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/timeline"
)

const (
	// timelineTimeout bounds the request to one process.
	timelineTimeout = 2 * time.Second
	// timelineConcurrency bounds the concurrent requests to processes.
	timelineConcurrency = 32
)

var _ operatorapi.TimelineSource = (*TimelineSource)(nil)

// TimelineSource collects the timelines of all listed VMs.
type TimelineSource struct{ node *node.Node }

// NewTimelineSource returns the source of the operators' merged timeline.
func NewTimelineSource(n *node.Node) *TimelineSource { return &TimelineSource{node: n} }

// Timeline implements operatorapi.TimelineSource.
func (s *TimelineSource) Timeline(ctx context.Context, filter timeline.Filter) (operatorapi.Timeline, error) {
	lists := [][]timeline.Event{s.node.Recorder.Events(filter)}
	var missing []core.VMID
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := semaphore.NewWeighted(timelineConcurrency)
	for id, vm := range s.node.View().VMs {
		if id == s.node.VM {
			continue
		}
		if err := slots.Acquire(ctx, 1); err != nil {
			return operatorapi.Timeline{}, fmt.Errorf("time line: %w", err)
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer slots.Release(1)
			events, err := s.fetch(ctx, vm.PeerAddr, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, id)
				return
			}
			lists = append(lists, events)
		}()
	}
	running.Wait()
	return operatorapi.Timeline{Events: timeline.Merge(lists...), Missing: missing}, nil
}

// fetch reads the events of one process.
func (s *TimelineSource) fetch(ctx context.Context, addr string, filter timeline.Filter) ([]timeline.Event, error) {
	conn, err := s.node.Pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	ctx, end := conn.Begin(ctx)
	defer end()
	reply, err := conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{
		Request: string(filter.Request), Object: filter.Object, Zone: string(filter.Zone),
		Kind: string(filter.Kind), Since: uint64(filter.Since),
	})
	if err != nil {
		return nil, fmt.Errorf("timeline of %s: %w", addr, err)
	}
	conn.RecordProgress()
	var events []timeline.Event
	decoder := json.NewDecoder(bytes.NewReader(reply.GetJson()))
	for decoder.More() {
		var event timeline.Event
		if err := decoder.Decode(&event); err != nil {
			return nil, fmt.Errorf("timeline of %s: %w", addr, err)
		}
		events = append(events, event)
	}
	return events, nil
}
