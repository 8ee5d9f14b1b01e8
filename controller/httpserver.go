package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"junipershelf/internal/connlimit"
)

// Limits of the HTTP servers, per connection.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 8 << 10
)

// httpServer is one of the node's two HTTP servers.
type httpServer struct {
	addr     string
	handler  http.Handler
	maxConns int
	onFull   func() // called for each connection beyond maxConns
	log      *slog.Logger
}

// start listens on the server's address and serves in the group until the context is cancelled.
func (s *httpServer) start(ctx context.Context, group *errgroup.Group, listen func(network, addr string) (net.Listener, error)) error {
	listener, err := listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	limited := connlimit.NewListener(listener, s.maxConns, s.onFull)
	server := &http.Server{
		Handler:           limited.CloseConnectionsNearLimit(s.handler),
		ConnState:         limited.ObserveState,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	group.Go(func() error { return server.Serve(limited) })
	group.Go(func() error { <-ctx.Done(); return server.Close() })
	return nil
}
