package entry

import (
	"context"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/operatorapi"
)

var _ operatorapi.StatusSource = (*StatusSource)(nil)

// StatusSource reports this entry's view of the deployment.
type StatusSource struct{ node *node.Node }

// NewStatusSource returns the source of the operators' status.
func NewStatusSource(n *node.Node) *StatusSource { return &StatusSource{node: n} }

// Status implements operatorapi.StatusSource.
func (s *StatusSource) Status(context.Context) (operatorapi.Status, error) {
	now := time.Now()
	view := s.node.View()
	status := operatorapi.Status{Process: s.node.VM}
	spreads := spreadTable{}
	reported := map[core.VMID]bool{}
	for _, e := range s.node.Alive() {
		status.Processes = append(status.Processes, processStatus(now, e))
		status.Endpoints = append(status.Endpoints, endpointStatus(e))
		spreads.add(e)
		reported[core.VMID(e.State.GetVm())] = true
	}
	entries := s.node.EntryStates()
	entries[s.node.VM] = membership.Entry{LastSeen: now, ConfigRevision: view.ConfigRevision}
	for id, vm := range view.VMs {
		if !reported[id] {
			status.Processes = append(status.Processes, listedStatus(now, vm, entries))
		}
	}
	status.Spreads = spreads.rows()
	return status, nil
}

func processStatus(now time.Time, e membership.Endpoint) operatorapi.ProcessStatus {
	return operatorapi.ProcessStatus{
		VM: core.VMID(e.State.GetVm()), Role: core.RoleEndpoint, Zone: core.ZoneID(e.State.GetZone()),
		ConfigRevision: e.State.GetConfigRevision(), Leaving: e.State.GetLeaving(), SilentSeconds: now.Sub(e.LastSeen).Seconds(),
	}
}

// listedStatus returns the status of a listed VM that is not a live endpoint: an entry,
// or a VM without any report, whose SilentSeconds is negative.
func listedStatus(now time.Time, vm core.VM, entries map[core.VMID]membership.Entry) operatorapi.ProcessStatus {
	row := operatorapi.ProcessStatus{VM: vm.ID, Role: vm.Role, Zone: vm.Zone, Leaving: vm.State == core.VMLeaving, SilentSeconds: -1}
	if entry, known := entries[vm.ID]; known {
		row.SilentSeconds = now.Sub(entry.LastSeen).Seconds()
		row.ConfigRevision = entry.ConfigRevision
	}
	return row
}

func endpointStatus(e membership.Endpoint) operatorapi.EndpointStatus {
	state := e.State
	return operatorapi.EndpointStatus{
		VM: core.VMID(state.GetVm()), Zone: core.ZoneID(state.GetZone()), Pool: core.PoolID(state.GetPool()),
		Service: core.ServiceID(state.GetService()), Loaded: core.VersionID(state.GetLoadedVersion()),
		Target: core.VersionID(state.GetTargetVersion()), Ready: state.GetReady(), Leaving: state.GetLeaving(),
		InFlight: int(state.GetLoad().GetInFlight()), Limit: int(state.GetLoad().GetLimit()), Queued: int(state.GetLoad().GetQueued()),
		ConfigRevision: state.GetConfigRevision(), Detail: detailOf(state.GetDetail(), state.GetSwitching()),
	}
}

func detailOf(detail, switching string) string {
	if detail == "" {
		return switching
	}
	return detail
}

// spreadKey identifies a version in a zone.
type spreadKey struct {
	version core.VersionID
	zone    core.ZoneID
}

// spreadTable aggregates the spread progress by version and zone.
type spreadTable map[spreadKey]*operatorapi.SpreadStatus

func (t spreadTable) add(e membership.Endpoint) {
	state := e.State
	if state.GetTargetVersion() == "" {
		return
	}
	key := spreadKey{version: core.VersionID(state.GetTargetVersion()), zone: core.ZoneID(state.GetZone())}
	row := t[key]
	if row == nil {
		row = &operatorapi.SpreadStatus{Version: key.version, Zone: key.zone, SecondsLeft: -1}
		t[key] = row
	}
	row.Endpoints++
	row.ChunksStored += int(state.GetChunksHeld())
	row.ChunksTotal += int(state.GetChunksTotal())
	if state.GetChunksTotal() > 0 && state.GetChunksHeld() == state.GetChunksTotal() {
		row.Complete++
	}
	if state.GetLoadedVersion() == state.GetTargetVersion() {
		row.Serving++
	}
	if left := float64(state.GetSecondsLeft()); state.GetSecondsLeftKnown() {
		row.SecondsLeft = max(row.SecondsLeft, left)
	}
}

func (t spreadTable) rows() []operatorapi.SpreadStatus {
	rows := make([]operatorapi.SpreadStatus, 0, len(t))
	for _, row := range t {
		if row.Complete == row.Endpoints {
			row.SecondsLeft = 0
		}
		rows = append(rows, *row)
	}
	return rows
}
