package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the site file of frsalt-dispatch.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// deployment is a small deployment: the store, processes of the project and stand-ins. All of it
// is on loopback addresses, one for each machine.
type deployment struct {
	repository, folder string
	trouble            bool
	start              time.Time
	base               [2]int
	// ports are the first of the free ports that all machines use.
	ports int
	store *store

	mu        sync.Mutex
	record    *os.File
	processes map[string]*process
	servers   []*http.Server
}

// Offsets from deployment.ports.
const (
	portFront = iota
	portReady
	portPeer
	portApp
	portStore
	portOrigin
	portCount
)

const (
	storeHost  = 250
	originHost = 251
)

func newDeployment(repository string, record *os.File, trouble bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{
		repository: repository, folder: folder, trouble: trouble, start: time.Now(), base: [2]int{64 + pid>>8&63, pid & 255},
		store: newStore(), record: record, processes: map[string]*process{},
	}
	for {
		d.ports = 10000 + portCount*rand.IntN(3000)
		if d.portsFree() {
			break
		}
	}
	d.note("trouble: %v", trouble)
	return d, d.serve(d.address(storeHost, portStore), d.store)
}

func (d *deployment) portsFree() bool {
	for port := range portCount {
		listener, err := net.Listen("tcp", d.address(1, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// ip returns the address of a machine.
func (d *deployment) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.base[0], d.base[1], host)
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(host), d.ports+port)
}

// serve serves HTTP at an address until the case ends.
func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// note writes a line of the record.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%9.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, values...))
}

// at returns a time as it stands in the record.
func (d *deployment) at(t time.Time) float64 { return t.Sub(d.start).Seconds() }

// process is a process of the project on one machine.
type process struct {
	name, program, settings string
	command                 *exec.Cmd
	ended                   chan struct{}
}

// settings writes the settings file of a machine.
func (d *deployment) settings(name string, host int, side bool) (string, error) {
	lines := []string{
		"node=" + name, "zone=yard", "region=here", "zones.yard=here", "ip=" + d.ip(host),
		fmt.Sprintf("port-range=%d,%d", d.ports+portPeer, d.ports+portPeer), "bootstrap=false", "tolerated=false",
		"limits.cpu-share=0.4", "limits.cpu-cores=1", "limits.disk-mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat-ms=1200",
		"policies=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks",
		"fault-tolerance.machines=2", "fault-tolerance.zones=0", "fault-tolerance.regions=0",
		"parameters.seed-staleness-s=3", "parameters.addr-reuse-s=2", "parameters.contact-ms=3000", "parameters.ack-ms=4000",
		"parameters.catch-up-s=4", "parameters.drain-ms=2000", "parameters.grace-s=8", "parameters.loss-slack-ms=200",
		"parameters.config-apply-ms=2000", "parameters.downgrade-slack-ms=250", "parameters.max-stretch-ms=5000",
		"parameters.strict-revoke=true", "parameters.revoke-ms=5000", "parameters.retry-budget-ratio=0.2",
		"parameters.budget-window-s=10", "parameters.budget-slack=102", "parameters.cold-over=1.5", "parameters.cold-slack=5",
		"parameters.evacuate-ms=5000", "parameters.recover-s=12", "parameters.pass-ms=120", "parameters.retry-after-s=0",
		"parameters.version_ms=8000", "parameters.version_all_ms=0",
		"platform.address=" + d.address(storeHost, portStore), "platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000",
		"platform.history-s=20", "platform.value-bytes=1048576", "platform.ttl-min-ms=1000",
	}
	if side {
		lines = append(lines, "role=agent", "machine-class=side", "serves=side", "app="+d.address(host, portApp), "service=pool",
			"limits.memory-mb=152", "limits.max-fds=2048", "limits.link-mbps=9.4")
	} else {
		lines = append(lines, "role=gateway", "machine-class=front", "serves=front", "listen.front="+d.address(host, portFront),
			"listen.ready="+d.address(host, portReady), "limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0")
	}
	path := filepath.Join(d.folder, name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startGateway and startAgent start a process with the command of the deploy file.
func (d *deployment) startGateway(host int) error {
	return d.startProcess(fmt.Sprintf("front-%d", host), "target/zsgateway", host, false)
}

func (d *deployment) startAgent(host int) error {
	return d.startProcess(fmt.Sprintf("side-%d", host), "target/zsagent", host, true)
}

func (d *deployment) startProcess(name, program string, host int, side bool) error {
	path, err := d.settings(name, host, side)
	if err != nil {
		return err
	}
	p := &process{name: name, program: program, settings: path}
	d.processes[name] = p
	return d.launch(p)
}

func (d *deployment) launch(p *process) error {
	output, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	p.command = exec.Command(filepath.Join(d.repository, p.program))
	p.command.Dir = d.repository
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "ZINNIASEAM_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.note("%s started (process %d)", p.name, p.command.Process.Pid)
	return nil
}

// killAll kills all processes of the project at one moment.
func (d *deployment) killAll() {
	for _, p := range d.processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range d.processes {
		<-p.ended
	}
}

// close ends everything that the case has started.
func (d *deployment) close() {
	d.killAll()
	for _, server := range d.servers {
		_ = server.Close()
	}
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		_ = os.Rename(d.folder, logs)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// awaitReady waits until gateways say that they are ready.
func (d *deployment) awaitReady(hosts []int, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for _, host := range hosts {
		for !d.isReady(ctx, host) {
			if ctx.Err() != nil {
				return fmt.Errorf("gateway %d is not ready after %s", host, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	d.note("all gateways are ready")
	return nil
}

func (d *deployment) isReady(ctx context.Context, host int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(host, portReady)+"/api/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
