package configsync

import (
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// ReconcileAction is what a watcher does after reading the store.
type ReconcileAction uint8

// Verdicts of Reconcile.
const (
	// InSync means that the store holds the newest known document.
	InSync ReconcileAction = iota
	// AdoptStored means that the store holds a newer document.
	AdoptStored
	// WriteBack means that the store lost the newest accepted document.
	WriteBack
)

// Reconcile compares the newest known document with a read of the store. A
// document that is known was accepted once, so that a store that holds an older
// one, or none, has lost data.
func Reconcile(held *Document, seen Observed) ReconcileAction {
	switch order := Compare(seen.Doc, held); {
	case order > 0:
		return AdoptStored
	case order < 0:
		return WriteBack
	default:
		return InSync
	}
}

// WatchersPerZone is how many entries of one availability zone watch the platform.
const WatchersPerZone = 2

// IsWatcher reports whether self is one of the entries of its zone that watch
// the platform. The entries with the greatest rendezvous hashes do; every
// process with the same VM list comes to the same choice.
func IsWatcher(self core.VMID, zone core.ZoneID, vms []core.VM) bool {
	var entries []core.VMID
	for _, vm := range vms {
		if vm.Role == core.RoleEntry && vm.Zone == zone && vm.State != core.VMLeaving {
			entries = append(entries, vm.ID)
		}
	}
	if len(entries) == 0 {
		return true // nothing is known yet, or nobody else is left
	}
	sort.Slice(entries, func(i, j int) bool { return watchRank(entries[i], zone) > watchRank(entries[j], zone) })
	for _, id := range entries[:min(len(entries), WatchersPerZone)] {
		if id == self {
			return true
		}
	}
	return false
}

func watchRank(id core.VMID, zone core.ZoneID) uint64 {
	return xxh3.HashString("watch/" + string(zone) + "/" + string(id))
}
