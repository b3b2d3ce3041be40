package remote

import (
	"errors"
	"net"
	"sync"

	"oriolebarrow/core"
)

// openTable counts the open connections by address. It has a lock of its own,
// since a connection may be closed while Client.mu is held: Client.Bound and
// Client.Close close idle connections under it.
type openTable struct {
	mu    sync.Mutex
	count map[string]int
}

func (t *openTable) add(address string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		t.count = make(map[string]int)
	}
	t.count[address] += n
	if t.count[address] == 0 {
		delete(t.count, address)
	}
}

func (t *openTable) get(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count[address]
}

// OpenConnections returns the connections to a backend server that are open now.
func (c *Client) OpenConnections(address string) int { return c.open.get(address) }

// counted counts a connection until it is closed, then calls closed.
func (c *Client) counted(address string, conn net.Conn, err error, closed func()) (net.Conn, error) {
	if err != nil {
		c.meter.Count("remote_dials_failed", 1)
		return nil, err
	}
	c.meter.Count("remote_connections_opened", 1)
	c.open.add(address, 1)
	return &countedConn{Conn: conn, closed: func() {
		c.open.add(address, -1)
		closed()
	}}, nil
}

type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// countWrong counts an answer that is not the one asked for.
func (c *Client) countWrong(call core.ReadCall, rows rowsBody) {
	switch {
	case rows.Snapshot != uint64(call.Snapshot):
		c.meter.Count("remote_wrong_snapshot", 1)
	case rows.Shard != int32(call.Shard):
		c.meter.Count("remote_wrong_shard", 1)
	case !isArray(rows.Rows):
		c.meter.Count("remote_wrong_rows", 1)
	}
}

func (c *Client) countChecksum(err error) error {
	if errors.Is(err, errChecksum) {
		c.meter.Count("remote_wrong_checksum", 1)
	}
	return err
}
