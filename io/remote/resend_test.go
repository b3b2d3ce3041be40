package remote_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cuttingServer serves one status call on its first connection, reads cut bytes of the
// next request there, and closes the connection. On later connections it serves one
// request each, so a resent order would be counted there.
type cuttingServer struct {
	listener  net.Listener
	cut       int
	closeIdle chan struct{} // with cut 0: closed to make the server close its first connection

	mu        sync.Mutex
	bytesRead int // bytes of the order that were read on the first connection
	orders    int // orders that arrived on later connections
	wg        sync.WaitGroup
}

func newCuttingServer(t *testing.T, cut int) *cuttingServer {
	l, err := net.Listen("tcp", "127.0.0.14:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttingServer{listener: l, cut: cut, closeIdle: make(chan struct{})}
	c.wg.Go(c.accept)
	return c
}

func (c *cuttingServer) accept() {
	for first := true; ; first = false {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.wg.Go(func() { c.serve(conn, first) })
	}
}

func (c *cuttingServer) serve(conn net.Conn, first bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if strings.HasSuffix(req.URL.Path, "/order") {
		c.mu.Lock()
		c.orders++
		c.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if _, err := io.WriteString(conn, echoCallID("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", req)); err != nil || !first {
		return
	}
	if c.cut == 0 {
		<-c.closeIdle
		return
	}
	n, _ := io.ReadFull(in, make([]byte, c.cut))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += n
}

func (c *cuttingServer) close() {
	_ = c.listener.Close()
	c.wg.Wait()
}

// TestOrderIsSentOnceOnReusedConnections guards against net/http resending an order on a
// new connection after a reused one failed, and against the outcome not_run for an order
// of which bytes were written.
func TestOrderIsSentOnceOnReusedConnections(t *testing.T) {
	size := requestSize(t)
	for cut := 0; cut <= size; cut++ {
		server := newCuttingServer(t, cut)
		client := remote.New(remote.Options{Connections: 2})
		address := server.listener.Addr().String()
		ctx := context.Background()
		if _, err := client.Status(ctx, address); err != nil {
			t.Fatal(err)
		}
		close(server.closeIdle)
		_, err := client.Order(ctx, address, testOrder())
		client.Close()
		server.close()
		var call *core.CallError
		if err != nil && !errors.As(err, &call) {
			t.Fatalf("cut %d: error %v, want a CallError", cut, err)
		}
		if server.orders > 1 || server.bytesRead > 0 && server.orders > 0 {
			t.Errorf("cut %d: %d orders arrived on new connections after %d bytes were read on the reused one", cut, server.orders, server.bytesRead)
		}
		if call != nil && call.NotRun && (server.bytesRead > 0 || server.orders > 0) {
			t.Errorf("cut %d: error says not run, but the server read %d bytes", cut, server.bytesRead)
		}
		if cut > 0 && server.bytesRead != cut {
			t.Errorf("cut %d: server read %d bytes on the reused connection", cut, server.bytesRead)
		}
	}
}

func testOrder() core.OrderCall {
	return core.OrderCall{
		OrderID: "h1~7~00", RequestID: "r1", Service: "kiln", Key: "bale-17",
		Body: []byte(`{"lot":17}`), Deadline: time.Now().Add(time.Minute),
	}
}

// requestSize returns the size of the order's HTTP request in bytes.
func requestSize(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.14:0")
	if err != nil {
		t.Fatal(err)
	}
	size := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			size <- 0
			return
		}
		counted := &countingReader{r: conn}
		if req, err := http.ReadRequest(bufio.NewReader(counted)); err == nil {
			_, _ = io.ReadAll(req.Body)
		}
		_ = conn.Close()
		size <- counted.n
	}()
	client := remote.New(remote.Options{Connections: 1})
	_, _ = client.Order(context.Background(), l.Addr().String(), testOrder())
	client.Close()
	_ = l.Close()
	return <-size
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

// TestOrderRefusals guards against the outcome not_run without proof, and against the
// outcome unknown for an order that a backend server refused before its start, as a
// draining server does.
func TestOrderRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		notRun bool
		reason core.Reason
	}{
		"draining":    {`{"refused":"draining","ran":false}`, true, core.ReasonDraining},
		"ran":         {`{"refused":"cancelled","ran":true}`, false, "cancelled"},
		"ran missing": {`{"refused":"busy"}`, false, "busy"},
		"not JSON":    {`gateway error`, false, core.ReasonBackendError},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.14:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(remote.CallIDHeader, r.Header.Get(remote.CallIDHeader))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, c.body)
			})}
			done := make(chan struct{})
			go func() { _ = server.Serve(l); close(done) }()
			client := remote.New(remote.Options{Connections: 1})
			_, err = client.Order(context.Background(), l.Addr().String(), testOrder())
			client.Close()
			_ = server.Close()
			<-done
			var call *core.CallError
			if !errors.As(err, &call) || call.NotRun != c.notRun || call.Reason != c.reason {
				t.Fatalf("error %v, want reason %q and not run %v", err, c.reason, c.notRun)
			}
		})
	}
}

// TestOrderIsNotWrittenAfterItsDeadline guards against an order that is written although
// its deadline has passed.
func TestOrderIsNotWrittenAfterItsDeadline(t *testing.T) {
	server := newCuttingServer(t, 0)
	close(server.closeIdle)
	client := remote.New(remote.Options{Connections: 1})
	expired := testOrder()
	expired.Deadline = time.Now().Add(-time.Nanosecond)
	_, err := client.Order(context.Background(), server.listener.Addr().String(), expired)
	client.Close()
	server.close()
	var call *core.CallError
	if !errors.As(err, &call) || !call.NotRun || call.Reason != core.ReasonDeadline || server.orders != 0 {
		t.Fatalf("error %v and %d orders at the server, want no order and a CallError with NotRun and reason deadline", err, server.orders)
	}
}
