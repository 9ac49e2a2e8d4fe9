package faulttest

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// relay forwards TCP connections to one address and can inject network faults.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// blocked reports whether the bytes of a source IP address are blocked.
	blocked func(source string) bool
	// blackholed holds the connections whose bytes are discarded until they close.
	blackholed map[net.Conn]bool
	conns      map[net.Conn]string
	closed     bool
	// bytes counts the bytes forwarded from each source to the target and back.
	bytes map[string][2]int64
	// limiterFor returns the rate limiter of the link between the source and the
	// target; nil for no limit. It is set before the first connection.
	limiterFor func(source string, towardsTarget bool) *rate.Limiter
}

func newRelay(listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, blackholed: map[net.Conn]bool{}, conns: map[net.Conn]string{}, bytes: map[string][2]int64{}}
	go r.accept()
	return r, nil
}

// block delays the bytes of connections from sources for which rule returns true,
// until the rule is replaced. A nil rule ends the blocking.
func (r *relay) block(rule func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = rule
}

// blackhole discards all further bytes of the existing connections, which stay
// open. New connections work.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.blackholed[conn] = true
	}
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.listener.Close()
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	r.mu.Lock()
	r.conns[conn] = source
	r.mu.Unlock()
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		delete(r.blackholed, conn)
		r.mu.Unlock()
	}()
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go r.copy(upstream, conn, conn, source, true, done)
	go r.copy(conn, upstream, conn, source, false, done)
	<-done
}

// linkBurst is the burst size of a rate-limited link, in bytes.
const linkBurst = 4 << 10

// limiter returns the rate limiter for one direction of a connection, or nil.
func (r *relay) limiter(source string, towardsTarget bool) *rate.Limiter {
	if r.limiterFor == nil {
		return nil
	}
	return r.limiterFor(source, towardsTarget)
}

// copy forwards bytes in one direction. It discards them on a blackholed connection
// and delays them while the source is blocked.
func (r *relay) copy(to, from, key net.Conn, source string, towardsTarget bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	limiter := r.limiter(source, towardsTarget)
	if limiter != nil {
		buffer = buffer[:linkBurst]
	}
	for {
		n, err := from.Read(buffer)
		if limiter != nil {
			_ = limiter.WaitN(context.Background(), n)
		}
		if n > 0 && r.waitUnblocked(key, source) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
			r.countBytes(source, towardsTarget, n)
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

func (r *relay) countBytes(source string, towardsTarget bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes := r.bytes[source]
	if towardsTarget {
		bytes[0] += int64(n)
	} else {
		bytes[1] += int64(n)
	}
	r.bytes[source] = bytes
}

// forwardedBytes returns the bytes forwarded from each source to the target and back.
func (r *relay) forwardedBytes() map[string][2]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.bytes)
}

// waitUnblocked waits while the source is blocked, as in a network partition. It
// returns false if the connection is blackholed or the relay closed.
func (r *relay) waitUnblocked(key net.Conn, source string) bool {
	for {
		r.mu.Lock()
		blackholed, blocked, closed := r.blackholed[key], r.blocked != nil && r.blocked(source), r.closed
		r.mu.Unlock()
		if blackholed || closed {
			return false
		}
		if !blocked {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
}
