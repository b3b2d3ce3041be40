package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/bench/soak"
	"oriolebarrow/core"
	"oriolebarrow/platform"
)

// pipes is a listener whose connections are pipes, so that a test with a synthetic clock can
// wait for them.
type pipes struct {
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func newPipes() *pipes { return &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the other end of a connection that the listener accepts.
func (p *pipes) connect() net.Conn {
	near, far := net.Pipe()
	p.accepted <- far
	return near
}

// dialEcho returns a connection to a server that sends back what it receives.
func dialEcho() (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.Copy(far, far)
		_ = far.Close()
	}()
	return near, nil
}

// TestProxyFaults guards against a fault that has no effect or never ends.
func TestProxyFaults(t *testing.T) {
	const brief, long = 100 * time.Millisecond, 5 * time.Second
	for _, c := range []struct {
		fault  soak.Fault
		passes bool // the echo arrives within brief
		ends   bool // the connection ends
	}{
		{soak.NoFault, true, false},
		{soak.Delay, false, false},
		{soak.CutTo, false, false},
		{soak.CutFrom, false, false},
		{soak.Silent, false, false},
		{soak.Reset, false, true},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPipes()
				p := soak.StartProxy(l, dialEcho)
				defer p.Close()
				conn := l.connect()
				defer func() { _ = conn.Close() }()
				receive := func(within time.Duration) error {
					_ = conn.SetReadDeadline(time.Now().Add(within))
					_, err := io.ReadFull(conn, make([]byte, 4))
					return err
				}
				_, _ = conn.Write([]byte("ping"))
				if err := receive(long); err != nil {
					t.Fatalf("no echo before the fault: %v", err)
				}
				p.SetFault(c.fault)
				_, _ = conn.Write([]byte("pong"))
				if err := receive(brief); (err == nil) != c.passes {
					t.Errorf("read of the echo during the fault: error %v", err)
				}
				p.SetFault(soak.NoFault)
				if c.passes {
					return
				}
				if err := receive(long); (err != nil) != c.ends {
					t.Errorf("read of the echo after the fault: error %v", err)
				}
			})
		})
	}
}

// TestOrderChecks guards against checks that miss a broken promise about an order.
func TestOrderChecks(t *testing.T) {
	for _, c := range []struct {
		name        string
		executions  int
		status      int
		undisturbed bool
		want        string
	}{
		{"served", 1, 200, true, ""},
		{"refused", 0, 503, true, ""},
		{"connection lost when the host was killed", 1, 0, false, ""},
		{"executed twice", 2, 200, true, "ran 2 times"},
		{"refused but executed", 1, 503, true, "told 503 and ran"},
		{"connection lost without a cause", 1, 0, true, "without an answer"},
		{"executed on a third replica", 3, 502, true, "ran on 3 replicas"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := soak.NewChecker()
			for i := range c.executions {
				checker.AddExecution("r1", "orders", core.InstanceID(fmt.Sprint("i-", i)))
			}
			checker.AddOrder("r1", c.status, c.undisturbed)
			broken := strings.Join(checker.BrokenPromises(), "; ")
			if (broken == "") != (c.want == "") || !strings.Contains(broken, c.want) {
				t.Errorf("got %q, want %q", broken, c.want)
			}
		})
	}
}

// TestQueryChecks guards against checks that miss a wrong answer to a query.
func TestQueryChecks(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(stamps []string, missing *string, body []byte) []string
		want   string
	}{
		{"correct", func(s []string, _ *string, _ []byte) []string { return s }, ""},
		{"shard not counted", func(s []string, _ *string, _ []byte) []string { return s[1:] }, "stamps"},
		{"too few shards", func(s []string, m *string, _ []byte) []string { *m = "4"; return s[:2] }, "stamps"},
		{"unknown stamp", func(s []string, _ *string, _ []byte) []string { s[0] = "i-9.r1.1"; return s }, "no replica gave"},
		{"two parts of one shard", func(s []string, _ *string, _ []byte) []string { s[0] = s[1]; return s }, "two parts"},
		{"wrong records", func(s []string, _ *string, b []byte) []string { b[0] ^= 1; return s }, "records"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := soak.NewChecker()
			var stamps []string
			var all [][]byte
			for i := range soak.ShardCount {
				s := soak.ShardName("a", i)
				stamps = append(stamps, checker.AddExecution("r1", s, core.InstanceID(fmt.Sprint("i-", i))))
				all = append(all, soak.Records(s, "r1")...)
			}
			slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
			body, missing := bytes.Join(all[:soak.TopK], nil), "0"
			stamps = c.change(stamps, &missing, body)
			names := platform.Names()
			h := http.Header{}
			h.Set(names.Parts, strings.Join(stamps, ", "))
			h.Set(names.Missing, missing)
			if got := checker.CheckQuery("r1", h, body); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestQueryCheckFindsMixedShardSets guards against a check that accepts an answer from two
// sets of shards.
func TestQueryCheckFindsMixedShardSets(t *testing.T) {
	checker := soak.NewChecker()
	var stamps []string
	for i := range soak.ShardCount {
		stamps = append(stamps, checker.AddExecution("r1", soak.ShardName([]string{"a", "b"}[i%2], i), core.InstanceID(fmt.Sprint("i-", i))))
	}
	h := http.Header{}
	h.Set(platform.Names().Parts, strings.Join(stamps, ", "))
	if got := checker.CheckQuery("r1", h, nil); !strings.Contains(got, "2 sets") {
		t.Errorf("got %q, want a text about 2 sets", got)
	}
}

// TestMainExitCodes guards against a run that passes although the program is missing, and
// against invalid arguments that are accepted.
func TestMainExitCodes(t *testing.T) {
	dir := t.TempDir()
	cases := filepath.Join(dir, "cases")
	if err := os.WriteFile(cases, []byte("# none\ngateway x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"-program", filepath.Join(dir, "none"), "-dir", dir}, 1},
		{[]string{"-kind", "other"}, 2},
		{[]string{"-hosts", "1"}, 2},
		{[]string{"-cases", cases}, 2},
	} {
		var out bytes.Buffer
		if got := soak.Main(t.Context(), c.args, &out, &out); got != c.want {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, got, c.want, out.String())
		}
	}
}

// hijackWriter is a response writer whose Hijack returns conn.
type hijackWriter struct {
	http.ResponseWriter
	conn net.Conn
}

func (h hijackWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) { return h.conn, nil, nil }

// TestEndlessResponseCheck guards against a check that misses a host which keeps reading an
// endless response of a replica.
func TestEndlessResponseCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		read int64
		want string
	}{
		{"closed at a limit", 1 << 20, ""},
		{"read without limit", 1 << 30, "did not close"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				go func() {
					_, _ = io.CopyN(io.Discard, near, c.read)
					_ = near.Close()
				}()
				checker := soak.NewChecker()
				checker.SendEndless(hijackWriter{conn: far}, time.Minute)
				broken := strings.Join(checker.BrokenPromises(), "; ")
				if (broken == "") != (c.want == "") || !strings.Contains(broken, c.want) {
					t.Errorf("got %q, want %q", broken, c.want)
				}
			})
		})
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestEndlessResponseToPausedHost guards against sockets between a replica and a host that take
// up so much of an endless response that a host which is paused seems to read it. What they
// take must be far less than the allowance for it, half of the bytes that a host may accept.
func TestEndlessResponseToPausedHost(t *testing.T) {
	const bodyLimit, allowance = 8 << 20, 4 << 20
	replicas, hosts := listen(t), listen(t)
	p := soak.StartProxy(hosts, func() (net.Conn, error) { return net.Dial("tcp", replicas.Addr().String()) })
	defer p.Close()
	host, err := net.Dial("tcp", hosts.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = host.Close() }()
	go func() { _, _ = io.CopyN(io.Discard, host, bodyLimit) }() // and is paused then
	far, err := replicas.Accept()
	if err != nil {
		t.Fatal(err)
	}
	checker := soak.NewChecker()
	if n := checker.SendEndless(hijackWriter{conn: far}, time.Second); n > bodyLimit+allowance {
		t.Errorf("%d bytes were sent to a host that read %d, want at most %d more", n, bodyLimit, allowance)
	}
	if broken := checker.BrokenPromises(); len(broken) != 0 {
		t.Errorf("got %q, want no broken promise", broken)
	}
}

// TestColdChecks guards against a run that passes although a cold replica got too many requests in
// a second, and against one that fails although it did not.
func TestColdChecks(t *testing.T) {
	for _, c := range []struct {
		name   string
		n      int
		gap    time.Duration
		broken bool
	}{
		{"as many as allowed at once", soak.MaxColdRequests(), 0, false},
		{"one more at once", soak.MaxColdRequests() + 1, 0, true},
		{"one more within a second", soak.MaxColdRequests() + 1, time.Second / time.Duration(soak.MaxColdRequests()), true},
		{"steady", 50, 1001 * time.Millisecond / time.Duration(soak.MaxColdRequests()), false},
	} {
		checker := soak.NewChecker()
		var at []time.Time
		for i := range c.n {
			at = append(at, time.Unix(1000, 0).Add(time.Duration(i)*c.gap))
		}
		checker.AddColdRequests(at...)
		if broken := checker.BrokenPromises(); len(broken) > 0 != c.broken {
			t.Errorf("%s: broken promises %v, want %v", c.name, broken, c.broken)
		}
	}
}
