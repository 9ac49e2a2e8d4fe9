package capacity

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// PlatformCalls are the calls of entries that follow the platform while nothing changes.
type PlatformCalls struct {
	Entries int `json:"entries"`
	Zones   int `json:"zones"`
	// Watchers is how many of the entries watch.
	Watchers int `json:"watchers"`
	// WatcherReads and OtherReads are the reads of one entry a second.
	WatcherReads float64 `json:"readsPerSecondOfWatcher"`
	OtherReads   float64 `json:"readsPerSecondOfOther"`
	Reads        float64 `json:"readsPerSecond"`
}

const (
	entryCount    = 340
	platformSpan  = 20 * time.Second
	quickPlatform = time.Second
	// idleShare shortens the idle poll of the measured entry; reads are scaled back by it.
	idleShare = 10
)

var errNoWrite = errors.New("capacity: nothing is written here")

// quietPlatform is a platform on which nothing changes; it counts reads.
type quietPlatform struct{ reads atomic.Int64 }

var _ configsync.Client = (*quietPlatform)(nil)

// Get implements configsync.Client.
func (p *quietPlatform) Get(context.Context, string) ([]byte, uint64, error) {
	p.reads.Add(1)
	return nil, 0, nil
}

// GetIfChanged implements configsync.Client.
func (p *quietPlatform) GetIfChanged(context.Context, string, core.Digest) ([]byte, uint64, bool, error) {
	p.reads.Add(1)
	return nil, 0, false, nil
}

// CompareAndSwap implements configsync.Client.
func (p *quietPlatform) CompareAndSwap(context.Context, string, []byte, uint64) (uint64, bool, error) {
	return 0, false, errNoWrite
}

// Watch implements configsync.Client.
func (p *quietPlatform) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]byte, uint64, bool, error) {
	p.reads.Add(1)
	return nil, after, false, kernel.Sleep(ctx, wait)
}

// VMs implements configsync.Client.
func (p *quietPlatform) VMs(ctx context.Context, _ uint64, wait time.Duration) (platform.VMListReply, bool, error) {
	p.reads.Add(1)
	return platform.VMListReply{}, false, kernel.Sleep(ctx, wait)
}

func measurePlatform(ctx context.Context, quick bool) (PlatformCalls, error) {
	calls := PlatformCalls{Entries: entryCount, Zones: zoneCount}
	list := vms(entryCount, 0, zoneCount)
	for _, vm := range list {
		if configsync.IsWatcher(vm.ID, vm.Zone, list) {
			calls.Watchers++
		}
	}
	span := platformSpan
	if quick {
		span = quickPlatform
	}
	watcher, other := &quietPlatform{}, &quietPlatform{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = follower(watcher, true, configsync.DefaultIdlePoll).Run(ctx) }()
	go func() { _ = follower(other, false, configsync.DefaultIdlePoll/idleShare).Run(ctx) }()
	if err := kernel.Sleep(ctx, span); err != nil {
		return calls, err
	}
	calls.WatcherReads = float64(watcher.reads.Load()) / span.Seconds()
	calls.OtherReads = float64(other.reads.Load()) / span.Seconds() / idleShare
	calls.Reads = float64(calls.Watchers)*calls.WatcherReads + float64(entryCount-calls.Watchers)*calls.OtherReads
	return calls, nil
}

func follower(client configsync.Client, watches bool, idlePoll time.Duration) *configsync.Syncer {
	return configsync.New(configsync.Config{
		Client: client, Self: core.VMID(receiver), Zone: zoneName(1), IdlePoll: idlePoll,
		ShouldWatch: func() bool { return watches },
	})
}
