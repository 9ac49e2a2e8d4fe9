package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// proxy stands for the network before a runner's machine. It passes channels on until the machine
// is shut down: the channels are closed then, and new ones aren't answered.
type proxy struct {
	listener *net.TCPListener
	target   string
	// fillers occupy the queue of new channels, so that the kernel answers no others.
	fillers []net.Conn
}

// startProxy puts a proxy at the machine's address. Its runner gets another one.
func (m *machine) startProxy() error {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(m.ip), Port: m.port})
	if err != nil {
		return err
	}
	hidden, err := freePort(m.d.subnet + "2")
	if err != nil {
		return err
	}
	m.listen = fmt.Sprintf("%s2:%d", m.d.subnet, hidden)
	m.proxy = &proxy{listener: listener, target: m.listen}
	go m.proxy.run()
	return nil
}

// fillTimeout is how long a channel to a listener with a full queue is waited for.
const fillTimeout = 50 * time.Millisecond

// shutDown ends the machine: its processes are killed, which closes their channels, and nothing
// answers at its address any more.
func (m *machine) shutDown() error {
	p := m.proxy
	if err := p.listener.SetDeadline(time.Now()); err != nil {
		return err
	}
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	for {
		conn, err := net.DialTimeout("tcp", m.address(), fillTimeout)
		if err != nil {
			break
		}
		p.fillers = append(p.fillers, conn)
	}
	m.d.record.line("%s answers no new channels (%d in its queue); its processes are killed", m.name, len(p.fillers))
	kill(m.runner)
	kill(m.system)
	return nil
}

func (p *proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(from)
	}
}

func (p *proxy) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		_, _ = io.Copy(to, from)
		to.Close()
	}()
	if _, err := io.Copy(from, to); errors.Is(err, syscall.ECONNRESET) {
		_ = from.(*net.TCPConn).SetLinger(0) // passes the reset on
	}
}
