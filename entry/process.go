package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/connlimit"
	"github.com/zinniaseam/zinniaseam/goruntime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Limits of the HTTP servers.
const (
	// headerTimeout bounds the reading of a head, and that of a body that net/http discards. Handlers
	// that need the body set deadlines of their own.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxCallerConnections and maxOperatorConnections bound the open connections. If a listener
	// is full, connections without a request are closed first.
	maxCallerConnections   = 4096
	maxOperatorConnections = 64
)

// Config is the configuration of an entry process.
type Config struct {
	CallerListen   string
	OperatorListen string
	PeerListen     string
	// OperatorTLS enables TLS on the operator listener.
	OperatorTLS bool
	// ReadyGrace is how long the entry accepts requests after its readiness check
	// starts to fail, so that the load balancer can stop sending first.
	ReadyGrace time.Duration
	// StopTimeout is the maximum duration of a graceful shutdown.
	StopTimeout time.Duration
	// Runtime limits the resources used by the Go runtime.
	Runtime goruntime.Settings
}

// Syncer follows the configuration and the VM list of the platform.
type Syncer interface {
	Run(ctx context.Context) error
}

// Process is the entry process.
type Process struct {
	config   Config
	node     *node.Node
	log      *log.Logger
	callers  *CallerAPI
	operator http.Handler
	syncer   Syncer
}

// New returns an entry process built from its parts.
func New(config Config, n *node.Node, callers *CallerAPI, operator http.Handler, syncer Syncer) *Process {
	return &Process{config: config, node: n, log: n.Log.WithPrefix("entry"), callers: callers, operator: operator, syncer: syncer}
}

// Run serves until ctx is done and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", p.config.PeerListen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	callerServer, callerListener, err := listenHTTP("callers", p.config.CallerListen, p.callers.Handler(), maxCallerConnections, p.log)
	if err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	operatorServer, operatorListener, err := p.listenOperators()
	if err != nil {
		return fmt.Errorf("operator listener: %w", err)
	}
	grpcServer := peers.NewServer(p.node.Security, p.log)
	peerpb.RegisterPeerServer(grpcServer, p.node)

	var process kernel.Process
	process.AddDuty("runtime", p.config.Runtime.Run)
	p.node.AddDuties(&process)
	process.AddDuty("platform", p.syncer.Run)
	process.AddDuty("grpc", func(context.Context) error { return grpcServer.Serve(peers.Limit(peerListener, 0, p.log)) })
	process.AddDuty("callers", func(context.Context) error { return serveHTTP(callerServer, callerListener) })
	process.AddDuty("operators", func(context.Context) error { return serveHTTP(operatorServer, operatorListener) })
	process.AddStop("readiness", p.drainCallers)
	process.AddStop("callers", callerServer.Shutdown)
	process.AddStop("operators", operatorServer.Shutdown)
	process.AddStop("grpc", func(context.Context) error { grpcServer.Stop(); return nil })
	p.node.Recorder.Add(timeline.KindProcess, "", string(p.node.VM), "Entry process started.")
	p.log.Info("Serving.", "vm", p.node.VM, "zone", p.node.Zone, "callers", p.config.CallerListen)
	err = process.Run(ctx, p.config.StopTimeout)
	p.log.Info("Stopped.", "err", err)
	return err
}

// drainCallers makes the readiness check fail and waits for the load balancer to react.
// Idle connections stay open meanwhile, so that no request is sent on a connection that
// is being closed.
func (p *Process) drainCallers(ctx context.Context) error {
	p.callers.Drain()
	_ = kernel.Sleep(ctx, p.config.ReadyGrace) // the shutdown continues even if ctx expires
	return nil
}

// listenOperators opens the operator listener, with TLS if configured.
func (p *Process) listenOperators() (*http.Server, net.Listener, error) {
	server, listener, err := listenHTTP("operators", p.config.OperatorListen, p.operator, maxOperatorConnections, p.log)
	if err != nil || !p.config.OperatorTLS {
		return server, listener, err
	}
	return server, tls.NewListener(listener, p.node.Certs.ListenerConfig()), nil
}

func listenHTTP(name, addr string, handler http.Handler, maxConnections int, logger *log.Logger) (*http.Server, net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	limit := connlimit.New(maxConnections)
	limit.LogTo(logging.NewLimited(logger), name)
	server := &http.Server{
		Handler: handler, ConnState: limit.ConnState,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return server, limit.Listen(listener), nil
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
