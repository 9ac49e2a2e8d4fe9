package capacity

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	poolName         = "assistant"
	modelName        = "assistant"
	versionName      = "assistant-2026-12-03"
	regionCount      = 6
	zoneCount        = 14
	endpointIP       = "127.100.100.100:7000"
	largeLimit       = 64
	firstIncarnation = uint64(1_764_800_000_000_000_000)
	objectsPerModel  = 5
	fullHistory      = 33
)

func zoneName(i int) core.ZoneID     { return core.ZoneID(fmt.Sprintf("yard-zone-%02d", i)) }
func regionName(i int) core.RegionID { return core.RegionID(fmt.Sprintf("region-%d", i%regionCount)) }

// endpointState returns a state with all fields that a serving endpoint reports.
func endpointState(i int, addr string, sequence uint64) *peerpb.EndpointState {
	zone := i % zoneCount
	return &peerpb.EndpointState{
		Vm: fmt.Sprintf("yard-zone-%02d-model-%04d", zone, i), Zone: string(zoneName(zone)), Region: string(regionName(zone)),
		Pool: poolName, PeerAddr: addr, Incarnation: firstIncarnation + uint64(i), Sequence: sequence,
		LoadedVersion: versionName, TargetVersion: versionName, ChunksHeld: 1024, ChunksTotal: 1024,
		Load: &peerpb.EndpointLoad{InFlight: 5, Limit: largeLimit, Queued: 1}, Ready: true, ConfigRevision: 70_000, EngineBoot: firstIncarnation,
	}
}

func endpointStates(count int, addr string, sequence uint64) []*peerpb.EndpointState {
	states := make([]*peerpb.EndpointState, count)
	for i := range states {
		states[i] = endpointState(i, addr, sequence)
	}
	return states
}

// vms returns a VM list with entries and endpoints distributed over zones.
func vms(entries, endpoints, zones int) []core.VM {
	var list []core.VM
	for i := range entries {
		zone := i % zones
		list = append(list, core.VM{
			ID: core.VMID(fmt.Sprintf("yard-zone-%02d-entry-%03d", zone, i)), Role: core.RoleEntry, Zone: zoneName(zone), Region: regionName(zone),
			PeerAddr: endpointIP, State: core.VMLive,
		})
	}
	for i := range endpoints {
		zone := i % zones
		list = append(list, core.VM{
			ID: core.VMID(fmt.Sprintf("yard-zone-%02d-model-%04d", zone, i)), Role: core.RoleEndpoint, Zone: zoneName(zone), Region: regionName(zone),
			PeerAddr: endpointIP, State: core.VMLive, Pool: poolName,
		})
	}
	return list
}

// catalogueOf returns a valid set of about the given number of objects. Its first
// model is modelName.
func catalogueOf(objects int) *catalogue.Set {
	set := &catalogue.Set{}
	var zones []core.ZoneID
	for i := range min(zoneCount, objects/objectsPerModel) {
		zones = append(zones, zoneName(i))
		set.Zones = append(set.Zones, catalogue.Zone{Name: zoneName(i), Region: regionName(i), State: catalogue.ZoneIn})
	}
	for i := range (objects - len(zones)) / objectsPerModel {
		model := core.ModelID(modelName)
		if i > 0 {
			model = core.ModelID(fmt.Sprintf("model-%03d", i))
		}
		for _, suffix := range []string{"-a", "-b"} {
			version := core.VersionID(string(model) + suffix)
			digest := core.DigestOf([]byte(version)).String()
			set.Versions = append(set.Versions, catalogue.Version{Name: version, Model: model, Digest: digest, SizeBytes: 1 << 30})
		}
		set.Models = append(set.Models, catalogue.Model{Name: model})
		set.Pools = append(set.Pools, catalogue.Pool{Name: core.PoolID(model), Model: model, Version: core.VersionID(string(model) + "-a"), Zones: zones})
		set.Routes = append(set.Routes, catalogue.Route{Name: model, Model: model, Pool: core.PoolID(model), Priority: "briefing"})
	}
	return set
}

// publish returns the successor of base with the given set.
func publish(base *configsync.Document, set *catalogue.Set, stamp hlc.Stamp) (*configsync.Document, error) {
	var revision uint64
	if base != nil {
		revision = base.Revision
	}
	pub := configsync.NewPublication(revision, configsync.Draft{Set: set, Author: "operator"}, stamp, base, nil)
	pub.Read(configsync.Observed{ModRevision: revision, Doc: base})
	if pub.Next() != configsync.StepSwap {
		return nil, fmt.Errorf("capacity: publish: %v", pub.Outcome())
	}
	return pub.Document(), nil
}

// documentWithHistory returns a document with a history of full length.
func documentWithHistory(set *catalogue.Set) (*configsync.Document, error) {
	var doc *configsync.Document
	for i := range fullHistory {
		next := *set
		next.Teams = []catalogue.Team{{Name: "desk", Weight: i + 1}}
		var err error
		if doc, err = publish(doc, &next, hlc.Stamp(i+1)); err != nil {
			return nil, err
		}
	}
	return doc, nil
}
