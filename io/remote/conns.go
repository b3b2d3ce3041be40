package remote

import (
	"errors"
	"net"
	"sync"

	"oriolebarrow/core"
)

// connCounter counts the open connections by address. It has its own lock, since
// Client.SetConnectionLimit and Client.Close close idle connections while they hold
// Client.mu.
type connCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *connCounter) add(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = make(map[string]int)
	}
	c.count[address] += n
	if c.count[address] == 0 {
		delete(c.count, address)
	}
}

func (c *connCounter) get(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[address]
}

// OpenConnections returns the number of open connections to a backend server.
func (c *Client) OpenConnections(address string) int { return c.openConns.get(address) }

// countConn counts a dial as succeeded or failed. The returned connection counts as open
// until it is closed, and then calls onClose.
func (c *Client) countConn(address string, conn net.Conn, err error, onClose func()) (net.Conn, error) {
	if err != nil {
		c.meter.Count("remote_dials_failed", 1)
		return nil, err
	}
	c.meter.Count("remote_connections_opened", 1)
	c.openConns.add(address, 1)
	return &countedConn{Conn: conn, onClose: func() {
		c.openConns.add(address, -1)
		onClose()
	}}, nil
}

// countedConn calls onClose when it is closed for the first time.
type countedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close implements the Close method of net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.onClose)
	return err
}

// countMismatch counts a response that is for another snapshot or shard than the call,
// or whose rows are not a JSON array.
func (c *Client) countMismatch(call core.ReadCall, rows rowsBody) {
	switch {
	case rows.Snapshot != uint64(call.Snapshot):
		c.meter.Count("remote_wrong_snapshot", 1)
	case rows.Shard != int32(call.Shard):
		c.meter.Count("remote_wrong_shard", 1)
	case !isArray(rows.Rows):
		c.meter.Count("remote_wrong_rows", 1)
	}
}

// countChecksumError counts err if it is a checksum error, and returns it.
func (c *Client) countChecksumError(err error) error {
	if errors.Is(err, errChecksum) {
		c.meter.Count("remote_wrong_checksum", 1)
	}
	return err
}
