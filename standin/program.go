package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/settings"
)

const (
	headerTimeout = 10 * time.Second
	// exitUsage is the exit code for invalid settings.
	exitUsage = 2
)

// Program runs a stand-in as an HTTP server process.
type Program struct {
	// Settings registers the stand-in's own settings; use it before Run.
	Settings *settings.Set
	name     string
	listen   string
}

// NewProgram returns a program with the given name and a -listen setting whose
// default is listen.
func NewProgram(name, listen string) *Program {
	p := &Program{Settings: settings.New(name, os.Stderr), name: name}
	p.Settings.Addr(&p.listen, "listen", listen, "IP number and port of the HTTP listener", true)
	return p
}

// Run parses the settings, builds the handler and serves it until SIGTERM or SIGINT.
// It returns the exit code of the process.
func (p *Program) Run(build func() http.Handler) int {
	err := p.Settings.Parse(os.Args[1:], os.Stdout)
	if errors.Is(err, settings.ErrPrinted) || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := p.serve(build()); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.name, err)
		return 1
	}
	return 0
}

func (p *Program) serve(handler http.Handler) error {
	logger, err := logging.New(os.Stderr, "text", "info")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logger.WithPrefix(p.name).Info("listening", "address", listener.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return server.Close()
	}
}
