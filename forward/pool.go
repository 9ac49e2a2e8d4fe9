package forward

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membudget"
)

// Time-outs and limits of connections.
const (
	// dialTimeout leaves room for one round trip between regions, and for one packet
	// that the kernel retransmits after its first time-out of 1 s.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the endpoint's answer has
	// no Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout, so that no request is sent
	// while the endpoint closes the connection.
	idleMargin = 500 * time.Millisecond
	// freshIdle is the longest idle time of a connection that is reused for a call which
	// must not be repeated. If the endpoint closes the connection meanwhile, a reset
	// leaves it unknown whether the call ran.
	freshIdle = 250 * time.Millisecond
	// probeInterval and probeCount configure the keep-alive probes that detect dead
	// connections.
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout is how long sent data may remain unacknowledged.
	unackedTimeout = 3 * time.Second
)

var (
	dialed     = expvar.NewInt("endpoint_connections_opened")
	dialFailed = expvar.NewInt("endpoint_dial_failures")
)

// Pool pools connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// memory is the budget for the bodies of answers.
	memory *membudget.Budget

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool with a budget of its own for the bodies of answers.
func NewPool() *Pool { return NewPoolWithin(membudget.New(defaultMemory)) }

// NewPoolWithin returns an empty pool that holds the bodies of answers within memory.
func NewPoolWithin(memory *membudget.Budget) *Pool {
	return &Pool{
		idle: map[string][]*conn{}, memory: memory,
		dialer: net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		}},
	}
}

// setUnackedTimeout makes the kernel close connections whose peer acknowledges nothing
// for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// get returns an idle connection that may be reused for the call, or a new one.
func (p *Pool) get(ctx context.Context, address string, id core.RequestID, mayRepeat bool) (*conn, error) {
	if c := p.takeIdle(address, id, mayRepeat); c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		dialFailed.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	dialed.Add(1)
	return newConn(p, address, raw), nil
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
func (p *Pool) takeIdle(address string, id core.RequestID, mayRepeat bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if !mayRepeat && now.Sub(c.idleSince) > freshIdle {
			break
		}
		if !c.suits(id) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		if c.claim(now) {
			return c
		}
		c.close()
	}
	return nil
}

// put adds an idle connection to the pool.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// remove removes a connection from the pool.
func (p *Pool) remove(dead *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[dead.address]
	for i, c := range list {
		if c == dead {
			p.idle[dead.address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[dead.address]) == 0 {
		delete(p.idle, dead.address)
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for _, list := range p.idle {
		for _, c := range list {
			if now.Sub(c.idleSince) > c.keepFor {
				expired = append(expired, c)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.remove(c)
		c.close()
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
