package metrics

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
)

// headTime bounds the reading of a request's head.
const headTime = 5 * time.Second

// Serve publishes all counters and histograms at an address until ctx ends. A
// process goes on without them when the address can't be had.
func Serve(ctx context.Context, address string, logger *log.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("Metrics can't be served.", "address", address, "err", err)
		<-ctx.Done()
		return ctx.Err()
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // closes the listener alone
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
