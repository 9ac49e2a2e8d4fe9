package answers

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two checks of the state of a connection.
const pollInterval = 5 * time.Millisecond

// ErrReset means that a connection was reset before its peer had acknowledged all data.
var ErrReset = errors.New("connection reset before all data was acknowledged")

// AwaitReceipt waits until the peer of a connection has acknowledged all data that was written to
// it. It returns ErrReset if the connection is reset first, which the kernel does not report to
// readers after the end of the peer's data, and an error that wraps net.ErrClosed if the connection
// is closed. It returns nil at once if the kernel does not report what was acknowledged.
func AwaitReceipt(connection net.Conn) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("state of the connection: %w", err)
	}
	for {
		done, err := acknowledged(raw)
		if err != nil || done {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func acknowledged(raw syscall.RawConn) (bool, error) {
	var info *unix.TCPInfo
	var unsupported error
	err := raw.Control(func(fd uintptr) { info, unsupported = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return false, fmt.Errorf("state of the connection: %w", err)
	case unsupported != nil:
		return true, nil
	case info.State == unix.BPF_TCP_CLOSE:
		return false, ErrReset
	default:
		return info.Unacked == 0 && info.Notsent_bytes == 0, nil
	}
}
