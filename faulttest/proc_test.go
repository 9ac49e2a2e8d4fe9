package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// proc is one running program.
type proc struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	log  string
	done chan error
}

func (c *cluster) start(name, program string, args ...string) *proc {
	p := &proc{t: c.t, name: name, args: append([]string{program}, args...), log: filepath.Join(c.dir, name+".log")}
	p.run()
	c.procs = append(c.procs, p)
	return p
}

func (p *proc) run() {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan error, 1)
	p.done = done
	cmd := p.cmd
	go func() {
		done <- cmd.Wait()
		out.Close()
	}()
}

// ticksPerSecond is the number of clock ticks in a second of CPU time in /proc.
const ticksPerSecond = 100

// cpuSeconds returns the CPU time that the process has used, or 0 if it has ended.
func (p *proc) cpuSeconds() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// The process name ends at the last closing parenthesis. Of the fields after it, the 12th is
	// the user time and the 13th the system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) freeze()   { p.signal(syscall.SIGSTOP) }
func (p *proc) unfreeze() { p.signal(syscall.SIGCONT) }

// kill ends the process with SIGKILL and waits until it has ended.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
	p.done <- nil
}

// terminate requests a graceful shutdown and returns the result of the process, or
// an error if it does not end within the limit.
func (p *proc) terminate(within time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- nil
		return err
	case <-time.After(within):
		return fmt.Errorf("%s still running %s after SIGTERM", p.name, within)
	}
}
