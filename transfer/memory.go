package transfer

import (
	"context"
	"slices"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
)

var _ Staging = (*MemoryStaging)(nil)

// MemoryStaging stores the chunks of the latest versions in the memory of this
// process. It is for machines without an engine, which store weights only for
// others.
type MemoryStaging struct {
	maxVersions int

	mu sync.Mutex
	// order lists the versions by the time of their first chunk, the latest last.
	order  []core.VersionID
	chunks map[core.VersionID]map[int][]byte
}

// NewMemoryStaging returns a staging for at most the given number of versions.
func NewMemoryStaging(versions int) *MemoryStaging {
	return &MemoryStaging{maxVersions: max(versions, 1), chunks: map[core.VersionID]map[int][]byte{}}
}

// Put implements Staging.
func (m *MemoryStaging) Put(_ context.Context, version core.VersionID, index int, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.chunks[version] == nil {
		m.chunks[version] = map[int][]byte{}
		m.order = append(m.order, version)
		for len(m.order) > m.maxVersions {
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
	data, stored := m.chunks[version][index]
	if !stored {
		return nil, ErrNotStaged
	}
	return data, nil
}

// List implements Staging.
func (m *MemoryStaging) List(_ context.Context, version core.VersionID) ([]int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := make([]int, 0, len(m.chunks[version]))
	for index := range m.chunks[version] {
		stored = append(stored, index)
	}
	return stored, nil
}

// Drop implements Staging.
func (m *MemoryStaging) Drop(_ context.Context, version core.VersionID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.chunks, version)
	m.order = slices.DeleteFunc(m.order, func(v core.VersionID) bool { return v == version })
	return nil
}
