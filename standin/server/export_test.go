package server

import (
	"net"
	"time"
)

// NewDelayedConn returns a connection whose first read is delayed by its set-up cost.
func NewDelayedConn(c net.Conn, cost time.Duration) net.Conn {
	return &delayedConn{Conn: c, cost: cost}
}
