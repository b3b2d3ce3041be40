package server

import (
	"net"
	"time"
)

// Costly returns a connection with a set-up cost.
func Costly(c net.Conn, cost time.Duration) net.Conn { return &costlyConn{Conn: c, cost: cost} }
