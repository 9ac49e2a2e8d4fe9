// Package kernel provides the plug-in registry and the life cycle of a process.
//
// A plug-in registers a constructor under a dotted ID in an init function. A
// process looks up the plug-in named in its settings. The error for an unknown
// ID lists the registered ones.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Registry maps dotted IDs to the constructors of one kind of plug-in. It is
// safe for concurrent use.
type Registry[T any] struct {
	kind         string
	mu           sync.Mutex
	constructors map[string]func() T
}

// NewRegistry returns an empty registry; errors name the plug-ins by kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, constructors: map[string]func() T{}}
}

// Register adds a constructor. It panics if id is already registered, which is a
// programming error and shows when the process starts.
func (r *Registry[T]) Register(id string, construct func() T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.constructors[id]; taken {
		panic(fmt.Sprintf("kernel: %s %q registered twice", r.kind, id))
	}
	r.constructors[id] = construct
}

// New constructs the plug-in registered under id. It returns an error if there
// is none.
func (r *Registry[T]) New(id string) (T, error) {
	r.mu.Lock()
	construct, ok := r.constructors[id]
	r.mu.Unlock()
	if !ok {
		var zero T
		return zero, fmt.Errorf("%s %q is not known; known: %s", r.kind, id, strings.Join(r.IDs(), ", "))
	}
	return construct(), nil
}

// IDs returns the registered IDs in alphabetical order.
func (r *Registry[T]) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.constructors))
	for id := range r.constructors {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
