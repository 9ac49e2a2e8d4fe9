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

// PlatformCalls holds the rates of platform reads by entries while nothing changes.
type PlatformCalls struct {
	Entries int `json:"entries"`
	Zones   int `json:"zones"`
	// Watchers is the number of entries that watch the platform.
	Watchers int `json:"watchers"`
	// WatcherReads and OtherReads are the reads a second of one entry, Reads those of
	// all entries.
	WatcherReads float64 `json:"readsPerSecondOfWatcher"`
	OtherReads   float64 `json:"readsPerSecondOfOther"`
	Reads        float64 `json:"readsPerSecond"`
}

const (
	entryCount        = 340
	platformSpan      = 20 * time.Second
	quickPlatformSpan = time.Second
	// idleSpeedup is the factor by which the idle poll interval of the measured entry is
	// shortened. The measured reads are divided by it.
	idleSpeedup = 10
)

var errReadOnly = errors.New("capacity: simulated platform is read-only")

// idlePlatform is a platform without changes. It counts reads.
type idlePlatform struct{ reads atomic.Int64 }

var _ configsync.Client = (*idlePlatform)(nil)

// Get implements configsync.Client.
func (p *idlePlatform) Get(context.Context, string) ([]byte, uint64, error) {
	p.reads.Add(1)
	return nil, 0, nil
}

// GetIfChanged implements configsync.Client.
func (p *idlePlatform) GetIfChanged(context.Context, string, core.Digest) ([]byte, uint64, bool, error) {
	p.reads.Add(1)
	return nil, 0, false, nil
}

// CompareAndSwap implements configsync.Client.
func (p *idlePlatform) CompareAndSwap(context.Context, string, []byte, uint64) (uint64, bool, error) {
	return 0, false, errReadOnly
}

// Watch implements configsync.Client.
func (p *idlePlatform) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]byte, uint64, bool, error) {
	p.reads.Add(1)
	return nil, after, false, kernel.Sleep(ctx, wait)
}

// VMs implements configsync.Client.
func (p *idlePlatform) VMs(ctx context.Context, _ uint64, wait time.Duration) (platform.VMListReply, bool, error) {
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
		span = quickPlatformSpan
	}
	watcher, other := &idlePlatform{}, &idlePlatform{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = follower(watcher, true, configsync.DefaultIdlePoll).Run(ctx) }()
	go func() { _ = follower(other, false, configsync.DefaultIdlePoll/idleSpeedup).Run(ctx) }()
	if err := kernel.Sleep(ctx, span); err != nil {
		return calls, err
	}
	calls.WatcherReads = float64(watcher.reads.Load()) / span.Seconds()
	calls.OtherReads = float64(other.reads.Load()) / span.Seconds() / idleSpeedup
	calls.Reads = float64(calls.Watchers)*calls.WatcherReads + float64(entryCount-calls.Watchers)*calls.OtherReads
	return calls, nil
}

func follower(client configsync.Client, watches bool, idlePoll time.Duration) *configsync.Syncer {
	return configsync.New(configsync.Config{
		Client: client, Self: core.VMID(receiver), Zone: zoneName(1), IdlePoll: idlePoll,
		ShouldWatch: func() bool { return watches },
	})
}
