package emulator

import (
	"context"
	"errors"
	"net"
	"time"
)

// dialTimeout is how long a dial waits for a connection.
const dialTimeout = time.Second

// Connection errors, worded like those of the operating system.
var (
	errAddressInUse       = errors.New("address in use")
	errConnectionRefused  = errors.New("connection refused")
	errConnectionReset    = errors.New("connection reset")
	errConnectionTimedOut = errors.New("connection timed out")
	errBlocked            = errors.New("host is blocked")
)

// Network carries the emulators' traffic: a [MemoryNetwork] or a [LoopbackNetwork].
type Network interface {
	// Listen listens on an address.
	Listen(network, addr string) (net.Listener, error)
	// Dialer returns the dial function of a host.
	Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Host returns the host part of an address, or the address itself if it has no port.
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
