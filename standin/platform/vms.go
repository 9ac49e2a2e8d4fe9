package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// vmView is the VM list at one revision and the time at which it becomes visible.
type vmView struct {
	revision  uint64
	vms       []core.VM
	visibleAt time.Time
}

// vmList is the VM list. Changes become visible after lag.
type vmList struct {
	lag time.Duration

	mu    sync.Mutex
	views []vmView
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: max(0, lag), views: []vmView{{vms: []core.VM{}}}}
}

// visible returns the newest visible view and the time until the next one becomes
// visible, or zero if none is pending.
func (l *vmList) visible(now time.Time) (vmView, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.views) > 1 && !now.Before(l.views[1].visibleAt) {
		l.views = l.views[1:]
	}
	if len(l.views) == 1 {
		return l.views[0], 0
	}
	return l.views[0], l.views[1].visibleAt.Sub(now)
}

// change adds a view with the result of edit, which receives a copy of the newest
// list. If edit fails, nothing changes.
func (l *vmList) change(now time.Time, edit func([]core.VM) ([]core.VM, error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.views[len(l.views)-1]
	edited, err := edit(slices.Clone(newest.vms))
	if err != nil {
		return err
	}
	l.views = append(l.views, vmView{revision: newest.revision + 1, vms: edited, visibleAt: now.Add(l.lag)})
	return nil
}

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []core.VM) {
	_ = s.vms.change(time.Now(), func([]core.VM) ([]core.VM, error) { return slices.Clone(vms), nil })
}

// SetVMState changes the state of one VM. It returns an error if the VM is not in the
// list.
func (s *Server) SetVMState(id core.VMID, state core.VMState) error {
	return s.vms.change(time.Now(), func(vms []core.VM) ([]core.VM, error) {
		at := indexOf(vms, id)
		if at < 0 {
			return nil, errNoVM
		}
		vms[at].State = state
		return vms, nil
	})
}

// RemoveVM removes one VM from the list. It returns an error if the VM is not in the
// list.
func (s *Server) RemoveVM(id core.VMID) error {
	return s.vms.change(time.Now(), func(vms []core.VM) ([]core.VM, error) {
		at := indexOf(vms, id)
		if at < 0 {
			return nil, errNoVM
		}
		return slices.Delete(vms, at, at+1), nil
	})
}

func indexOf(vms []core.VM, id core.VMID) int {
	return slices.IndexFunc(vms, func(vm core.VM) bool { return vm.ID == id })
}
