//go:build crowd

package crowd_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oriolebarrow/bench/crowd"
)

const (
	// clients is how many clients misuse the host at once. The descriptors of the settings
	// would suffice for them; their memory would not.
	clients = 400
	// idleClients is more than the descriptors of the settings suffice for.
	idleClients = 700
	// readers is how many clients never read their answers.
	readers = 60
	// crowdTime is how long the clients keep on.
	crowdTime      = 4 * time.Second
	sampleInterval = 20 * time.Millisecond
	clientTimeout  = 30 * time.Second
	askTries       = 60
)

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "oriolebarrow")
	build := exec.Command("go", "build", "-o", program, "../..")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var program string // set once by TestMain

// client misuses a connection until it ends.
type client func(i int, c net.Conn)

// misuse runs n clients against an address of a host, and checks that the process lives,
// that its memory and descriptors stay within the settings, and that an ordinary request is
// answered while the connections of the clients are still open.
func misuse(t *testing.T, h *crowd.Host, address string, n int, run client) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), clientTimeout)
	var running sync.WaitGroup
	var connected atomic.Int64
	for i := range n {
		running.Go(func() {
			c, err := dialSmall(ctx, address)
			if err != nil {
				return
			}
			connected.Add(1)
			defer context.AfterFunc(ctx, func() { _ = c.Close() })()
			run(i, c)
			<-ctx.Done()
		})
	}
	var worst crowd.Usage
	sample := func() {
		if u, err := h.Usage(); err == nil {
			worst.PeakMB, worst.Descriptors = max(worst.PeakMB, u.PeakMB), max(worst.Descriptors, u.Descriptors)
		}
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && h.Alive(); {
		sample()
		<-time.After(sampleInterval)
	}
	if connected.Load() == 0 {
		t.Error("no client got a connection")
	}
	if !h.Alive() {
		t.Error("the process ended")
	} else if err := h.Answers(askTries); err != nil {
		t.Errorf("no ordinary request was answered: %v", err)
	}
	sample()
	stop()
	running.Wait()
	t.Logf("at most %d MB and %d descriptors, %d connections", worst.PeakMB, worst.Descriptors, connected.Load())
	if worst.PeakMB > crowd.MemoryMB {
		t.Errorf("the process used %d MB of memory, want at most %d", worst.PeakMB, crowd.MemoryMB)
	}
	if worst.Descriptors > crowd.MaxFDs {
		t.Errorf("the process had %d descriptors, want at most %d", worst.Descriptors, crowd.MaxFDs)
	}
}

// dialSmall opens a connection that buffers little of what it receives.
func dialSmall(ctx context.Context, address string) (net.Conn, error) {
	const receiveBytes = 4 << 10
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		}); e != nil {
			return e
		}
		return err
	}}
	return d.DialContext(ctx, "tcp", address)
}

func start(t *testing.T) *crowd.Host {
	t.Helper()
	h, err := crowd.Start(crowd.Options{Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendSlowly sends a text in small pieces.
func sendSlowly(c net.Conn, text string, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if !send(c, text[:n]) {
			return
		}
		text = text[n:]
		<-time.After(time.Millisecond)
	}
}

// repeat sends a text until the connection ends.
func repeat(text string) client {
	return func(_ int, c net.Conn) {
		for send(c, text) {
		}
	}
}

const requestLine = "POST " + crowd.SmallPath + " HTTP/1.1\r\nHost: " + crowd.HTTPHost + "\r\n"

// shortLines returns about n bytes of header lines with distinct names that are as short as
// possible.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func chunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// TestHeads guards against a process that clients end with the heads of requests: very many
// short or odd header lines, heads over the limit or without end, and empty lines without
// end before a request.
func TestHeads(t *testing.T) {
	// Below the limit even if the request line counts.
	legal := requestLine + shortLines(crowd.HeadBytes-200)
	long := requestLine + shortLines(60_000)
	odd := requestLine + strings.Repeat(":\r\n \r\nx\r\n\x00:\xff\r\n", 3000)
	for name, run := range map[string]client{
		"short lines, legal size": func(_ int, c net.Conn) { send(c, legal) },
		"short lines, over limit": func(_ int, c net.Conn) { send(c, long) },
		"short lines, complete":   func(_ int, c net.Conn) { send(c, legal+"Content-Length: 0\r\n\r\n") },
		"odd lines":               func(_ int, c net.Conn) { send(c, odd) },
		"one line without end":    repeat(requestLine + strings.Repeat("x", 1<<10)),
		"lines without end": func(_ int, c net.Conn) {
			for text := requestLine; send(c, text); {
				text = shortLines(4 << 10)
			}
		},
		"empty lines without end": repeat(strings.Repeat("\r\n", 512)),
		"piece by piece":          func(_ int, c net.Conn) { sendSlowly(c, long, 1000) },
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			misuse(t, h, h.CallerAddress(), clients, run)
		})
	}
}

// TestBodies guards against a process that clients end with many legal bodies at once. Three
// of four stop one byte short of the end and stay open.
func TestBodies(t *testing.T) {
	body := strings.Repeat("b", crowd.BodyBytes)
	sized := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLine, len(body), body)
	chunked := requestLine + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body, 4<<10)
	cut := func(i int, text string) string {
		if i%4 == 0 {
			return text
		}
		return text[:len(text)-1]
	}
	const piece = 16 << 10
	for name, run := range map[string]client{
		"with a length":   func(i int, c net.Conn) { send(c, cut(i, sized)) },
		"chunked":         func(i int, c net.Conn) { send(c, cut(i, chunked)) },
		"length, pieces":  func(i int, c net.Conn) { sendSlowly(c, cut(i, sized), piece) },
		"chunked, pieces": func(i int, c net.Conn) { sendSlowly(c, cut(i, chunked), piece) },
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			misuse(t, h, h.CallerAddress(), clients, run)
		})
	}
}

// TestReaders guards against a process that clients end by not reading their answers.
func TestReaders(t *testing.T) {
	h := start(t)
	misuse(t, h, h.CallerAddress(), readers, func(i int, c net.Conn) {
		<-time.After(time.Duration(i) * sampleInterval)
		const pipelined = 3
		send(c, strings.Repeat("GET "+crowd.LargePath+" HTTP/1.1\r\nHost: "+crowd.HTTPHost+"\r\n\r\n", pipelined))
	})
}

// TestIdle guards against a process that runs out of descriptors, or turns calm callers away,
// because of connections that carry nothing.
func TestIdle(t *testing.T) {
	h := start(t)
	misuse(t, h, h.CallerAddress(), idleClients, func(int, net.Conn) {})
}

// TestOtherListeners guards against a process that ends because of clients of its listeners
// for readiness checks, other hosts, tasks and metrics.
func TestOtherListeners(t *testing.T) {
	head := requestLine + shortLines(900_000)
	// The begin of a frame of the protocol between hosts, which announces one byte more than
	// follows: drpc keeps it until the end.
	const frameBytes = 2_000_000
	longFrame := string(binary.AppendUvarint([]byte{3, 1, 1}, frameBytes+1)) + strings.Repeat("x", frameBytes)
	for name, address := range map[string]func(*crowd.Host) string{
		"readiness": (*crowd.Host).ReadyAddress, "hosts": (*crowd.Host).PeerAddress,
		"tasks": (*crowd.Host).TaskAddress, "metrics": (*crowd.Host).MetricsAddress,
	} {
		t.Run(name+", heads", func(t *testing.T) {
			h := start(t)
			misuse(t, h, address(h), clients, func(_ int, c net.Conn) { send(c, head) })
		})
		t.Run(name+", long frames", func(t *testing.T) {
			h := start(t)
			misuse(t, h, address(h), clients, func(_ int, c net.Conn) { send(c, longFrame) })
		})
		t.Run(name+", idle", func(t *testing.T) {
			h := start(t)
			misuse(t, h, address(h), idleClients, func(int, net.Conn) {})
		})
	}
}

// TestServe guards against a host of the product's own interface that ends because of the
// clients of one of its listeners.
func TestServe(t *testing.T) {
	const line, bodyBytes = "POST /v1/query HTTP/1.1\r\nHost: h\r\n", 1 << 20
	head := line + shortLines(60_000)
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", line, bodyBytes, strings.Repeat(" ", bodyBytes-1))
	const frameBytes = 2_000_000
	longFrame := string(binary.AppendUvarint([]byte{3, 1, 1}, frameBytes+1)) + strings.Repeat("x", frameBytes)
	sends := func(text string) client { return func(_ int, c net.Conn) { send(c, text) } }
	for name, c := range map[string]struct {
		address func(*crowd.Host) string
		clients int
		run     client
	}{
		"callers, heads":        {(*crowd.Host).CallerAddress, clients, sends(head)},
		"callers, cut bodies":   {(*crowd.Host).CallerAddress, clients, sends(body)},
		"callers, idle":         {(*crowd.Host).CallerAddress, idleClients, sends("")},
		"hosts, long frames":    {(*crowd.Host).PeerAddress, clients, sends(longFrame)},
		"hosts, idle":           {(*crowd.Host).PeerAddress, idleClients, sends("")},
		"administration, heads": {(*crowd.Host).AdminAddress, clients, sends(head)},
		"administration, idle":  {(*crowd.Host).AdminAddress, idleClients, sends("")},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := crowd.StartServe(crowd.Options{Program: program, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(h.Close)
			misuse(t, h, c.address(h), c.clients, c.run)
		})
	}
}
