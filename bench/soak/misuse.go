package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
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

	misuseHeads  = "short_lines"
	misuseBodies = "cut_bodies"
	misuseIdle   = "silent"
)

// misuse is a crowd of clients that misuse a host.
type misuse struct {
	address string

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

// misuseText returns what each client sends before it falls silent.
func misuseText(fault string) string {
	var b strings.Builder
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
	text := misuseText(fault)
	m.mu.Lock()
	m.ended = false
	m.mu.Unlock()
	for range misusers {
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
