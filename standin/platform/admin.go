package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

func (s *Server) routeAdmin() {
	s.mux.HandleFunc("PUT /admin/faults", standin.PutHandler(s.SetFaults))
	s.mux.HandleFunc("GET /admin/stats", standin.GetHandler(s.Stats))
	s.mux.HandleFunc("POST /admin/snapshot", s.postSnapshot)
	s.mux.HandleFunc("POST /admin/rollback", s.postRollback)
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("PATCH /admin/vms/{id}", s.patchVM)
	s.mux.HandleFunc("DELETE /admin/vms/{id}", s.deleteVM)
	s.mux.HandleFunc("DELETE /admin/kv/{key...}", s.deleteKey)
}

// Snapshot saves a copy of all keys for Rollback and replaces the previous copy.
func (s *Server) Snapshot() { s.store.snapshot() }

// Rollback restores the keys and the revision of the last snapshot. It returns an
// error if there is none.
func (s *Server) Rollback() error { return s.store.rollback() }

func (s *Server) postSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.Snapshot()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postRollback(w http.ResponseWriter, _ *http.Request) {
	answerAdmin(w, s.Rollback())
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []core.VM
	if !standin.ReadJSON(w, r, &vms) {
		return
	}
	if err := checkVMs(vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func checkVMs(vms []core.VM) error {
	seen := map[core.VMID]bool{}
	for i, vm := range vms {
		if vm.ID == "" || seen[vm.ID] {
			return fmt.Errorf("%w: vm %d: id %q is empty or double", errVMList, i, vm.ID)
		}
		seen[vm.ID] = true
	}
	return nil
}

func (s *Server) patchVM(w http.ResponseWriter, r *http.Request) {
	var change struct {
		State core.VMState `json:"state"`
	}
	if !standin.ReadJSON(w, r, &change) {
		return
	}
	answerAdmin(w, s.SetVMState(core.VMID(r.PathValue("id")), change.State))
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	answerAdmin(w, s.RemoveVM(core.VMID(r.PathValue("id"))))
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	answerAdmin(w, s.store.remove(r.PathValue("key")))
}

func answerAdmin(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errNoSnapshot):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusNotFound)
	}
}
