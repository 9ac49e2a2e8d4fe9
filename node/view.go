package node

import (
	"encoding/json"
	"fmt"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// View is an immutable snapshot of the configuration, the VM list and the zone
// states that are active in this process.
type View struct {
	// ConfigRevision is the revision of Set, 0 while no configuration is known.
	ConfigRevision uint64
	Set            *catalogue.Set
	Index          *catalogue.Index
	VMs            map[core.VMID]core.VM
	// ZonesOut is the set of availability zones that are out, that is, that accept
	// no new work.
	ZonesOut map[core.ZoneID]bool
}

// buildView builds a view from the documents and the zone orders. It returns an
// error if the VM list can't be decoded.
func buildView(doc *configsync.Document, vms membership.Document, orders []*peerpb.ZoneOrder) (*View, error) {
	view := &View{Set: &catalogue.Set{}, VMs: map[core.VMID]core.VM{}, ZonesOut: configsync.ZonesOut(doc, zoneOrders(orders))}
	if doc != nil {
		view.ConfigRevision = doc.Revision
		view.Set = &doc.Set
	}
	view.Index = catalogue.NewIndex(view.Set)
	if len(vms.JSON) == 0 {
		return view, nil
	}
	rows, err := decodeVMs(vms.JSON)
	if err != nil {
		return nil, fmt.Errorf("VM list revision %d: %w", vms.Revision, err)
	}
	for _, vm := range rows {
		view.VMs[vm.ID] = vm
	}
	return view, nil
}

// decodeVMs decodes a VM list, which is a JSON array of core.VM.
func decodeVMs(text []byte) ([]core.VM, error) {
	var rows []core.VM
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, err
	}
	return rows, nil
}

func zoneOrders(orders []*peerpb.ZoneOrder) []configsync.ZoneOrder {
	list := make([]configsync.ZoneOrder, 0, len(orders))
	for _, order := range orders {
		list = append(list, zoneOrder(order))
	}
	return list
}

func zoneOrder(order *peerpb.ZoneOrder) configsync.ZoneOrder {
	return configsync.ZoneOrder{
		Zone: core.ZoneID(order.GetZone()), Out: order.GetOut(), Stamp: hlc.Stamp(order.GetStamp()), Author: order.GetAuthor(),
	}
}

// Leaving reports whether the platform marks the VM as leaving.
func (v *View) Leaving(id core.VMID) bool { return v.VMs[id].State == core.VMLeaving }

// Entries returns all entry VMs except self.
func (v *View) Entries(self core.VMID) []core.VM {
	var entries []core.VM
	for _, vm := range v.VMs {
		if vm.Role == core.RoleEntry && vm.ID != self {
			entries = append(entries, vm)
		}
	}
	return entries
}

// TeamWeights returns the configured weight of each team.
func (v *View) TeamWeights() map[core.TeamID]int {
	weights := make(map[core.TeamID]int, len(v.Set.Teams))
	for _, team := range v.Set.Teams {
		weights[team.Name] = team.Weight
	}
	return weights
}

// PoolSize returns the number of VMs of a pool in a zone according to the VM list.
func (v *View) PoolSize(pool core.PoolID, zone core.ZoneID) int {
	size := 0
	for _, vm := range v.VMs {
		if vm.Pool == pool && vm.Zone == zone {
			size++
		}
	}
	return size
}
