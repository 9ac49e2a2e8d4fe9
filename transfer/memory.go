package transfer

import (
	"context"
	"slices"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
)

var _ Staging = (*MemoryStaging)(nil)

// MemoryStaging holds chunks in this process's memory, of the few versions that
// were staged last. It serves machines that keep weights for others only.
type MemoryStaging struct {
	most int

	mu sync.Mutex
	// order lists the versions, the one that was staged last at the end.
	order  []core.VersionID
	chunks map[core.VersionID]map[int][]byte
}

// NewMemoryStaging returns a staging for at most so many versions.
func NewMemoryStaging(versions int) *MemoryStaging {
	return &MemoryStaging{most: max(versions, 1), chunks: map[core.VersionID]map[int][]byte{}}
}

// Put implements Staging.
func (m *MemoryStaging) Put(_ context.Context, version core.VersionID, index int, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.chunks[version] == nil {
		m.chunks[version] = map[int][]byte{}
		m.order = append(m.order, version)
		for len(m.order) > m.most {
			delete(m.chunks, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.chunks[version][index] = data
	return nil
}

// Get implements Staging.
func (m *MemoryStaging) Get(_ context.Context, version core.VersionID, index int) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, held := m.chunks[version][index]
	if !held {
		return nil, ErrNotStaged
	}
	return data, nil
}

// List implements Staging.
func (m *MemoryStaging) List(_ context.Context, version core.VersionID) ([]int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := make([]int, 0, len(m.chunks[version]))
	for index := range m.chunks[version] {
		held = append(held, index)
	}
	return held, nil
}

// Drop implements Staging.
func (m *MemoryStaging) Drop(_ context.Context, version core.VersionID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.chunks, version)
	m.order = slices.DeleteFunc(m.order, func(v core.VersionID) bool { return v == version })
	return nil
}
