package endpoint

import "sync"

// openKeys counts the open requests per idempotency key, including requests that are
// waiting at the gate and have not claimed their key yet. It is safe for concurrent
// use.
type openKeys struct {
	mu   sync.Mutex
	open map[string]int
}

// enter adds a request and reports whether it is the only open one with its key.
func (k *openKeys) enter(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open == nil {
		k.open = map[string]int{}
	}
	k.open[key]++
	return k.open[key] == 1
}

// leave removes a request.
func (k *openKeys) leave(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open[key]--
	if k.open[key] <= 0 {
		delete(k.open, key)
	}
}
