package remote

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"oriolebarrow/core"
	"oriolebarrow/io/heads"
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

// countedConn is a connection that checks the heads of responses, which net/http does not do
// strictly, and calls onClose when it is closed for the first time.
type countedConn struct {
	net.Conn
	once    sync.Once
	onClose func()

	mu     sync.Mutex   // guards the fields below
	method string       // of the request whose response has not begun; empty if none
	head   heads.Buffer // the start of that response
}

// expectResponse makes c check the response to a request that is about to be sent.
func (c *countedConn) expectResponse(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.method = method
	c.head.Reset()
}

// Read implements the Read method of net.Conn. It fails instead of returning the end of a head
// that breaks the protocol.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// check checks received bytes up to the end of the final head of a response.
func (c *countedConn) check(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.method != "" && len(received) > 0 {
		n, complete, err := c.head.Add(received)
		if err != nil {
			return err
		}
		if !complete {
			return nil
		}
		received = received[n:]
		h, err := heads.Parse(c.head.String(), c.method)
		if err != nil {
			return err
		}
		c.head.Reset()
		if h.Status() >= http.StatusOK {
			c.method = ""
		}
	}
	return nil
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
