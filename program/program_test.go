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
			parseNothing,
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

// buildAfter returns a build function that first sends the signal to this process.
func buildAfter(g *WithT, s syscall.Signal, p *process) func(int, time.Time) (*process, error) {
	return func(int, time.Time) (*process, error) {
		g.Expect(syscall.Kill(os.Getpid(), s)).To(Succeed())
		return p, nil
	}
}

func parseNothing([]string) (int, error) { return 0, nil }

// Without a handler yet, a hangup ended a process that was starting.
func TestAHangupWhileTheProcessIsBuiltReloadsItAfterwards(t *testing.T) {
	g := NewWithT(t)
	p := &process{reloads: make(chan struct{})}
	code := make(chan int, 1)
	go func() { code <- program.Main(parseNothing, buildAfter(g, syscall.SIGHUP, p)) }()
	g.Eventually(p.reloads).Should(Receive())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(code).Should(Receive(Equal(0)))
}

// Without a handler yet, SIGTERM ended a process that was starting without its shutdown.
func TestAStopWhileTheProcessIsBuiltIsGraceful(t *testing.T) {
	g := NewWithT(t)
	code := make(chan int, 1)
	go func() { code <- program.Main(parseNothing, buildAfter(g, syscall.SIGTERM, &process{})) }()
	g.Eventually(code).Should(Receive(Equal(0)))
}
