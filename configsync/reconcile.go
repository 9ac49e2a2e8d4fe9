package configsync

import (
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// ReconcileAction is the action of a watcher after reading the store.
type ReconcileAction uint8

// Results of Reconcile.
const (
	// InSync means that the store has the newest known document.
	InSync ReconcileAction = iota
	// AdoptStored means that the store has a newer document, which becomes current.
	AdoptStored
	// WriteBack means that the store lost the newest accepted document, which
	// has to be written again.
	WriteBack
)

// Reconcile compares the newest known document with a read of the store. Every
// known document was accepted by the store, so a store that returns an older
// document or none has lost data.
func Reconcile(current *Document, seen Observed) ReconcileAction {
	switch order := Compare(seen.Doc, current); {
	case order > 0:
		return AdoptStored
	case order < 0:
		return WriteBack
	default:
		return InSync
	}
}

// WatchersPerZone is the number of entries per availability zone that watch the
// platform.
const WatchersPerZone = 2

// IsWatcher reports whether self is one of the entries of zone that watch the
// platform. They are selected by rendezvous hashing, so all processes with the
// same VM list agree. If the list has no active entry of the zone, it returns
// true.
func IsWatcher(self core.VMID, zone core.ZoneID, vms []core.VM) bool {
	var entries []core.VMID
	for _, vm := range vms {
		if vm.Role == core.RoleEntry && vm.Zone == zone && vm.State != core.VMLeaving {
			entries = append(entries, vm.ID)
		}
	}
	if len(entries) == 0 {
		return true // the VM list is unknown or has no active entry in the zone
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
