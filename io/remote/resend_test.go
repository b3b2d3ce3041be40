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

// cutter serves one status call on its first connection, then reads a number of
// bytes of the next request there and closes. Later connections serve every
// request, so a resent order would reach their handler.
type cutter struct {
	listener net.Listener
	cut      int
	drop     chan struct{} // with cut 0: closes the idle connection

	mu     sync.Mutex
	read   int // bytes of the order read before the cut
	orders int // orders that reached the handler
	wait   sync.WaitGroup
}

func newCutter(t *testing.T, cut int) *cutter {
	l, err := net.Listen("tcp", "127.0.0.14:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, cut: cut, drop: make(chan struct{})}
	c.wait.Go(c.accept)
	return c
}

func (c *cutter) accept() {
	for first := true; ; first = false {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.wait.Go(func() { c.serve(conn, first) })
	}
}

func (c *cutter) serve(conn net.Conn, first bool) {
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
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil || !first {
		return
	}
	if c.cut == 0 {
		<-c.drop
		return
	}
	n, _ := io.ReadFull(in, make([]byte, c.cut))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.wait.Wait()
}

// Guards against net/http resending an order on a new connection after a reused
// one failed, and against not_run for an order of which bytes were written.
func TestOrderIsSentOnceOnReusedConnections(t *testing.T) {
	size := requestSize(t)
	for cut := 0; cut <= size; cut++ {
		server := newCutter(t, cut)
		client := remote.New(remote.Options{Connections: 2})
		address := server.listener.Addr().String()
		ctx := context.Background()
		if _, err := client.Status(ctx, address); err != nil {
			t.Fatal(err)
		}
		close(server.drop)
		_, err := client.Order(ctx, address, order())
		client.Close()
		server.close()
		var call *core.CallError
		if err != nil && !errors.As(err, &call) {
			t.Fatalf("cut %d: error %v, want a CallError", cut, err)
		}
		if server.orders > 1 || server.read > 0 && server.orders > 0 {
			t.Errorf("cut %d: %d orders reached the handler after %d bytes were read", cut, server.orders, server.read)
		}
		if call != nil && call.NotRun && (server.read > 0 || server.orders > 0) {
			t.Errorf("cut %d: not run after %d bytes were written", cut, server.read)
		}
		if cut > 0 && server.read != cut {
			t.Errorf("cut %d: read %d bytes of a reused connection", cut, server.read)
		}
	}
}

func order() core.OrderRun {
	return core.OrderRun{
		OrderID: "h1~7~00", RequestID: "r1", Service: "kiln", Key: "bale-17",
		Body: []byte(`{"lot":17}`), Deadline: time.Now().Add(time.Minute),
	}
}

// requestSize returns the number of bytes of the order on the wire.
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
	_, _ = client.Order(context.Background(), l.Addr().String(), order())
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

// Guards against not_run without proof and against unknown where a backend
// server refused before the start, as a draining one does.
func TestOrderRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		notRun bool
		reason core.Reason
	}{
		"draining":    {`{"refused":"draining","ran":false}`, true, core.ReasonDraining},
		"ran":         {`{"refused":"cancelled","ran":true}`, false, "cancelled"},
		"not stated":  {`{"refused":"busy"}`, false, "busy"},
		"not a reply": {`gateway error`, false, core.ReasonBackendError},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.14:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, test.body)
			})}
			done := make(chan struct{})
			go func() { _ = server.Serve(l); close(done) }()
			client := remote.New(remote.Options{Connections: 1})
			_, err = client.Order(context.Background(), l.Addr().String(), order())
			client.Close()
			_ = server.Close()
			<-done
			var call *core.CallError
			if !errors.As(err, &call) || call.NotRun != test.notRun || call.Reason != test.reason {
				t.Fatalf("error %v, want reason %q and not run %v", err, test.reason, test.notRun)
			}
		})
	}
}

// Guards against an order that is written although its deadline has passed.
func TestOrderIsNotWrittenAfterItsDeadline(t *testing.T) {
	server := newCutter(t, 0)
	close(server.drop)
	client := remote.New(remote.Options{Connections: 1})
	late := order()
	late.Deadline = time.Now().Add(-time.Nanosecond)
	_, err := client.Order(context.Background(), server.listener.Addr().String(), late)
	client.Close()
	server.close()
	var call *core.CallError
	if !errors.As(err, &call) || !call.NotRun || call.Reason != core.ReasonDeadline || server.orders != 0 {
		t.Fatalf("error %v with %d orders, want not run for the deadline", err, server.orders)
	}
}
