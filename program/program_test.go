package program_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/program"
)

// process sends to reloads on each Reload and runs until its context is done.
type process struct{ reloads chan struct{} }

func (p *process) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (p *process) Reload() { p.reloads <- struct{}{} }

func TestAHangupReloadsAndDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	p := &process{reloads: make(chan struct{})}
	built := make(chan struct{})
	code := make(chan int, 1)
	go func() {
		code <- program.Main(
			func([]string) (int, error) { return 0, nil },
			func(int, time.Time) (*process, error) { close(built); return p, nil },
		)
	}()
	<-built
	g.Eventually(func() bool {
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		select {
		case <-p.reloads:
			return true
		case <-time.After(50 * time.Millisecond):
			return false
		}
	}).Should(BeTrue())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(code).Should(Receive(Equal(0)))
}
