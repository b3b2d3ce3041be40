//go:build crowd

package crowd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolebarrow/bench/crowd"
)

const (
	// fleetClients is how many clients misuse each host of a fleet at once.
	fleetClients = 200
	// reconnectPause is the time between two connections of a client.
	reconnectPause = 20 * time.Millisecond
	// serveBodyBytes is the largest body of a request to the product's own interface.
	serveBodyBytes = 1 << 20
	// largeRowBytes is the size of the rows of a shard that make a large answer together.
	largeRowBytes = 600 << 10
)

// sender uses a connection to a host once. The host is the one with the number i, and a client
// calls it again with a new connection until ctx ends.
type sender func(ctx context.Context, f *crowd.Fleet, i int, c net.Conn)

// misuseFleet lets clients misuse all hosts of a fleet. It checks that the processes live, that
// the memory and the descriptors of each stay within the settings, and that each host answers
// an ordinary request while the clients go on. during is called while they do and may be nil.
func misuseFleet(t *testing.T, f *crowd.Fleet, send sender, during func()) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), clientTimeout)
	var running sync.WaitGroup
	var connected atomic.Int64
	for i, h := range f.Hosts() {
		for range fleetClients {
			running.Go(func() {
				for ctx.Err() == nil {
					useOnce(ctx, h.CallerAddress(), func(c net.Conn) {
						connected.Add(1)
						send(ctx, f, i, c)
					})
				}
			})
		}
	}
	worst := make([]crowd.Usage, len(f.Hosts()))
	sample := func() {
		for i, h := range f.Hosts() {
			if u, err := h.Usage(); err == nil {
				worst[i].PeakMB, worst[i].Descriptors = max(worst[i].PeakMB, u.PeakMB), max(worst[i].Descriptors, u.Descriptors)
			}
		}
	}
	if during != nil {
		running.Go(during)
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); {
		sample()
		<-time.After(sampleInterval)
	}
	for i, h := range f.Hosts() {
		if !h.Alive() {
			t.Errorf("the process of host %d ended", i)
		} else if err := h.Answers(askTries); err != nil {
			t.Errorf("host %d answered no ordinary request: %v", i, err)
		}
	}
	sample()
	stop()
	running.Wait()
	t.Logf("at most, by host: %+v, %d connections", worst, connected.Load())
	if connected.Load() == 0 {
		t.Error("no client got a connection")
	}
	for i, u := range worst {
		if u.PeakMB > crowd.MemoryMB {
			t.Errorf("the process of host %d used %d MB of memory, want at most %d", i, u.PeakMB, crowd.MemoryMB)
		}
		if u.Descriptors > crowd.MaxFDs {
			t.Errorf("the process of host %d had %d descriptors, want at most %d", i, u.Descriptors, crowd.MaxFDs)
		}
	}
}

// useOnce uses a new connection, which is closed when ctx ends.
func useOnce(ctx context.Context, address string, use func(net.Conn)) {
	c, err := dialSmall(ctx, address)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		use(c)
		stop()
		_ = c.Close()
	}
	select {
	case <-ctx.Done():
	case <-time.After(reconnectPause):
	}
}

// exchange sends a request and reads the answers until the connection ends or ctx does.
func exchange(text string) sender {
	return func(_ context.Context, _ *crowd.Fleet, _ int, c net.Conn) {
		for read := bufio.NewReader(c); send(c, text); {
			if _, err := response(read); err != nil {
				return
			}
		}
	}
}

// stopShort sends a request but for its last byte, and stays.
func stopShort(text string) sender {
	return func(ctx context.Context, _ *crowd.Fleet, _ int, c net.Conn) {
		if send(c, text[:len(text)-1]) {
			<-ctx.Done()
		}
	}
}

// mixed lets a share of the connections, one of n, use one sender and the rest another.
func mixed(n int64, one, others sender) sender {
	var count atomic.Int64
	return func(ctx context.Context, f *crowd.Fleet, i int, c net.Conn) {
		if count.Add(1)%n == 0 {
			one(ctx, f, i, c)
			return
		}
		others(ctx, f, i, c)
	}
}

func response(read *bufio.Reader) (string, error) {
	res, err := http.ReadResponse(read, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func queryLine(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + crowd.HTTPHost + "\r\n"
}

func queryWithBody(path string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", queryLine(path), crowd.BodyBytes, strings.Repeat("b", crowd.BodyBytes))
}

func startFleet(t *testing.T) *crowd.Fleet {
	t.Helper()
	f, err := crowd.StartFleet(crowd.Options{Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// TestDividedQueries guards against processes that clients end with requests of legal size to a
// route over many shards: each host holds copies of what it received from its own clients and
// from other hosts, for each host and replica that it sends them to.
func TestDividedQueries(t *testing.T) {
	body := queryWithBody(crowd.QueryPath)
	const limitSlack = 200 // below the limit even if the request line counts
	long := queryLine(crowd.QueryPath) + "X: " + strings.Repeat("x", crowd.HeadBytes-limitSlack) + "\r\nContent-Length: 0\r\n\r\n"
	lines := queryLine(crowd.QueryPath) + shortLines(crowd.HeadBytes-limitSlack) + "Content-Length: 0\r\n\r\n"
	for name, send := range map[string]sender{
		"bodies":               exchange(body),
		"bodies, most cut":     mixed(4, exchange(body), stopShort(body)),
		"heads of one line":    exchange(long),
		"heads of short lines": exchange(lines),
		"stalled replicas":     exchange(queryWithBody(crowd.StalledPath)),
		// Each query is sent on a new connection, whose client leaves at once.
		"clients that leave": func(_ context.Context, _ *crowd.Fleet, _ int, c net.Conn) { send(c, body) },
	} {
		t.Run(name, func(t *testing.T) { misuseFleet(t, startFleet(t), send, nil) })
	}
}

// TestPausedHost guards against processes that keep what they can't send to a host that does
// not read.
func TestPausedHost(t *testing.T) {
	f := startFleet(t)
	paused := f.Hosts()[len(f.Hosts())-1]
	misuseFleet(t, f, exchange(queryWithBody(crowd.QueryPath)), func() {
		if err := paused.Pause(); err != nil {
			t.Error(err)
		}
		<-time.After(crowdTime / 2)
		if err := paused.Resume(); err != nil {
			t.Error(err)
		}
	})
}

func startServeFleet(t *testing.T, rowBytes int) *crowd.Fleet {
	t.Helper()
	f, err := crowd.StartServeFleet(crowd.Options{Program: program, Dir: t.TempDir()}, rowBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// serveNames returns the fields of a request that name the caller and the service.
func serveNames() string {
	return fmt.Sprintf(`"caller":%q,"service":%q`, crowd.ServeCaller, crowd.ServeService)
}

// serveRequest returns a request to the product's own interface.
func serveRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// padded returns a body with the given first fields that has serveBodyBytes.
func padded(fields string) string {
	begin, end := "{"+fields+`,"body":"`, `"}`
	return begin + strings.Repeat("b", serveBodyBytes-len(begin)-len(end)) + end
}

// TestServeFleet guards against hosts of the product's own interface that end because of the
// copies of what their clients sent, or of what the backend servers answered.
func TestServeFleet(t *testing.T) {
	names := serveNames()
	query := serveRequest("/v1/query", padded(names))
	smallQuery := serveRequest("/v1/query", "{"+names+`,"body":{}}`)
	for name, c := range map[string]struct {
		rowBytes int
		send     sender
	}{
		"queries":            {0, exchange(query)},
		"queries, most cut":  {0, mixed(4, exchange(query), stopShort(query))},
		"orders":             {0, orders(names)},
		"large rows":         {largeRowBytes, exchange(smallQuery)},
		"large rows, unread": {largeRowBytes, unread(smallQuery)},
	} {
		t.Run(name, func(t *testing.T) {
			misuseFleet(t, startServeFleet(t, c.rowBytes), c.send, nil)
		})
	}
}

// unread sends a request and does not read the answer.
func unread(text string) sender {
	return func(ctx context.Context, _ *crowd.Fleet, _ int, c net.Conn) {
		if send(c, text) {
			<-ctx.Done()
		}
	}
}

// orders gets a token from one host and uses it at another, so that up to three hosts hold the
// order.
func orders(names string) sender {
	return func(ctx context.Context, f *crowd.Fleet, i int, c net.Conn) {
		issuer := f.Hosts()[(i+1)%len(f.Hosts())]
		for read := bufio.NewReader(c); ; {
			token := ""
			useOnce(ctx, issuer.CallerAddress(), func(c net.Conn) {
				if !send(c, serveRequest("/v1/tokens", "{}")) {
					return
				}
				var answer struct{ Token string }
				if text, err := response(bufio.NewReader(c)); err == nil && json.Unmarshal([]byte(text), &answer) == nil {
					token = answer.Token
				}
			})
			if token == "" {
				return
			}
			order := padded(fmt.Sprintf(`%s,"key":"k","token":%q`, names, token))
			if !send(c, serveRequest("/v1/orders", order)) {
				return
			}
			if _, err := response(read); err != nil {
				return
			}
		}
	}
}
