package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/platform"
)

const (
	// misusers clients hold more memory than the settings of a host allow for all callers, but
	// not all of its connections.
	misusers        = 150
	misuseBodyBytes = 256 << 10
	misuseHeadBytes = 16 << 10
	soakMemoryMB    = 128
	soakMaxFDs      = 900
	misuseDial      = time.Second

	// wholeQueries is one of how many clients with bodies send a whole one, to a query that the
	// host divides among hosts and replicas.
	wholeQueries = 3

	misuseHeads  = "short_lines"
	misuseBodies = "cut_bodies"
	misuseIdle   = "silent"
)

// misuse is a crowd of clients that misuse a host.
type misuse struct {
	address string
	queries atomic.Int64 // sent so far; the checks tell requests apart by ID

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

// misuseTarget returns the clients of a host as a target of disturbances. They don't excuse the
// host from its promises to its callers.
func misuseTarget(name, address string) target {
	m := &misuse{address: address}
	return target{name: name, faults: []string{misuseHeads, misuseBodies, misuseIdle}, set: m.begin, clear: m.end}
}

// text returns what a client sends before it falls silent.
func (m *misuse) text(fault string, client int) string {
	var b strings.Builder
	if fault == misuseBodies && client%wholeQueries == 0 {
		fmt.Fprintf(&b, "POST /q/misuse HTTP/1.1\r\nHost: soak\r\n%s: misuse-%s-%d\r\nContent-Length: %d\r\n\r\n%s",
			platform.Names().RequestID, m.address, m.queries.Add(1), misuseBodyBytes, strings.Repeat("b", misuseBodyBytes))
		return b.String()
	}
	b.WriteString("POST /o/misuse HTTP/1.1\r\nHost: soak\r\n")
	switch fault {
	case misuseHeads:
		for i := 0; b.Len() < misuseHeadBytes-100; i++ {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
	case misuseBodies:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", misuseBodyBytes, strings.Repeat("b", misuseBodyBytes-1))
	default:
		return ""
	}
	return b.String()
}

// begin connects the clients. Those that the host refuses are not replaced.
func (m *misuse) begin(fault string) {
	m.mu.Lock()
	m.ended = false
	m.mu.Unlock()
	for i := range misusers {
		text := m.text(fault, i)
		go func() {
			c, err := net.DialTimeout("tcp", m.address, misuseDial)
			if err != nil {
				return // the host is down or paused
			}
			if !m.add(c) {
				return
			}
			_, _ = io.WriteString(c, text) // ends with the connection
		}()
	}
}

// add adds a connection, or closes it if the disturbance has ended.
func (m *misuse) add(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		_ = c.Close()
		return false
	}
	m.conns = append(m.conns, c)
	return true
}

func (m *misuse) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for _, c := range m.conns {
		_ = c.Close()
	}
	m.conns = nil
}
