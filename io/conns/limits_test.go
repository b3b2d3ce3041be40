package conns_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core/quota"
	"oriolebarrow/io/conns"
)

const (
	headBytes   = 20 << 10
	headTimeout = 3 * time.Second
	bodyLimit   = 256 << 10
	bodyTimeout = 10 * time.Second
	statusRan   = http.StatusAccepted
)

// meter records counters.
type meter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (m *meter) Count(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

func (m *meter) Observe(string, int64) {}

func (m *meter) count(reason conns.Reason) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts["clients_limited_"+string(reason)]
}

// server is an HTTP server with limits. Its handler reads the body and calls answer, which may
// be nil.
type server struct {
	l      *listener
	set    *conns.Set
	http   *http.Server
	budget *quota.Budget
	meter  *meter
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	done   chan error
}

func newServer(budget int64, connections int) *server {
	s := &server{l: newListener(), budget: quota.New(budget), meter: &meter{counts: make(map[string]int64)}, done: make(chan error, 1)}
	s.set = conns.NewLimited(conns.Options{
		Listener: "callers", Connections: connections, Budget: s.budget,
		Head:     func() conns.HeadLimits { return conns.HeadLimits{Bytes: headBytes, Timeout: headTimeout} },
		Refusals: conns.NewRefusals(s.meter, slog.New(slog.DiscardHandler)),
	})
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: s.set.ConnState, ConnContext: conns.NewContext,
		MaxHeaderBytes: 64 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	go func() { s.done <- s.set.Serve(s.http, s.l) }()
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	body, reason, err := conns.ReadBody(w, r, bodyLimit, bodyTimeout)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case reason == conns.BodyTooLarge:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case reason == conns.SlowBody:
		w.WriteHeader(http.StatusRequestTimeout)
	case reason != "":
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.answer != nil:
		s.answer(w, r, body)
	default:
		w.WriteHeader(statusRan)
	}
}

// stop closes the server and checks that nothing is held any more.
func (s *server) stop(t *testing.T) {
	t.Helper()
	_ = s.l.Close()
	_ = s.http.Close()
	<-s.done
	<-time.After(2 * time.Second) // net/http closes a connection late after some answers
	synctest.Wait()
	if used, holders := s.budget.Used(), s.budget.Holders(); used != 0 || holders != 0 {
		t.Errorf("after the server was closed, %d holders have %d bytes", holders, used)
	}
}

// watch closes slow connections each second, for d.
func (s *server) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-time.After(time.Second)
		s.set.CloseIdle(time.Now(), 0)
	}
}

// status sends a text on a new connection and returns the status of the answer, or 0 if the
// connection ended without one. The connection stays open if the request has been answered.
func (s *server) status(text string) int {
	c := s.l.dial()
	go func() { _, _ = io.WriteString(c, text) }() // ends with the connection
	return readStatus(c)
}

func readStatus(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// head returns a head of exactly n bytes with lines that are as short as possible.
func head(n int, more string) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: h\r\n" + more)
	for i := 0; b.Len() < n-32; i++ {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	b.WriteString("X: " + strings.Repeat("x", n-b.Len()-7) + "\r\n\r\n")
	return b.String()
}

// TestHeadLimits guards against a head within the limits that is refused, whatever its lines,
// and against one beyond them that is accepted.
func TestHeadLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(8<<20, 0)
		for n, want := range map[int]int{
			200: statusRan, 16 << 10: statusRan, headBytes: statusRan,
			headBytes + 1: http.StatusRequestHeaderFieldsTooLarge, 60 << 10: http.StatusRequestHeaderFieldsTooLarge,
		} {
			if got := s.status(head(n, "Content-Length: 0\r\n")); got != want {
				t.Errorf("head of %d bytes: status %d, want %d", n, got, want)
			}
		}
		if got := s.status("POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20)); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("line without end: status %d, want 431", got)
		}
		if got := s.meter.count(conns.HeadTooLarge); got != 3 {
			t.Errorf("%d refusals were counted, want 3", got)
		}
		s.stop(t)
	})
}

// TestPipelinedHeads guards against counters that are not reset between the requests of a
// connection.
func TestPipelinedHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(8<<20, 0)
		c := s.l.dial()
		const requests = 5
		go func() {
			_, _ = io.WriteString(c, strings.Repeat(head(15<<10, "Content-Length: 3\r\n")+"\n\r\n", requests)+head(60<<10, ""))
		}()
		read := bufio.NewReader(c)
		for i := range requests {
			res, err := http.ReadResponse(read, nil)
			if err != nil || res.StatusCode != statusRan {
				t.Fatalf("request %d: %v, %v", i, res, err)
			}
		}
		if res, err := http.ReadResponse(read, nil); err != nil || res.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("head over the limit after other requests: %v, %v; want 431", res, err)
		}
		_ = c.Close()
		s.stop(t)
	})
}

// TestSlowHeads guards against heads that arrive too slowly, and against a calm connection that
// is closed for them.
func TestSlowHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(8<<20, 0)
		calm := s.l.dial()
		if _, err := io.WriteString(calm, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || readStatus(calm) != statusRan {
			t.Fatal("the first request was not answered")
		}
		slow := s.l.dial()
		begin := time.Now()
		go s.watch(6 * time.Second)
		for range 100 {
			if _, err := io.WriteString(slow, "x"); err != nil {
				break
			}
			<-time.After(100 * time.Millisecond)
		}
		if took := time.Since(begin); took < headTimeout || took > headTimeout+2*time.Second {
			t.Errorf("the slow connection was closed after %v, want about %v", took, headTimeout)
		}
		if _, err := io.WriteString(calm, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || readStatus(calm) != statusRan {
			t.Error("the calm connection was closed")
		}
		<-time.After(3 * time.Second)
		if got := s.meter.count(conns.SlowHead); got != 1 {
			t.Errorf("%d slow heads were counted, want 1", got)
		}
		s.stop(t)
	})
}

// TestBodyProgress guards against bodies that stop and stay open, and against slow ones that
// make progress and are refused.
func TestBodyProgress(t *testing.T) {
	for name, c := range map[string]struct {
		piece  int
		pause  time.Duration
		pieces int
		want   int
		within time.Duration
	}{
		"slow, with progress": {piece: 2 << 10, pause: 1500 * time.Millisecond, pieces: 6, want: statusRan, within: bodyTimeout},
		"too slow":            {piece: 100, pause: 500 * time.Millisecond, pieces: 100, want: http.StatusRequestTimeout, within: 4 * time.Second},
		"stopped":             {piece: 1, pause: time.Hour, pieces: 2, want: http.StatusRequestTimeout, within: 4 * time.Second},
		"longer than allowed": {piece: 4 << 10, pause: time.Second, pieces: 50, want: http.StatusRequestTimeout, within: bodyTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(8<<20, 0)
				conn := s.l.dial()
				begin, over := time.Now(), make(chan struct{})
				go func() {
					_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", c.piece*c.pieces)
					for i := 0; i < c.pieces && err == nil; i++ {
						_, err = io.WriteString(conn, strings.Repeat("b", c.piece))
						select {
						case <-time.After(c.pause):
						case <-over:
							return
						}
					}
				}()
				got := readStatus(conn)
				if took := time.Since(begin); got != c.want || took > c.within {
					t.Errorf("got status %d after %v, want %d within %v", got, took, c.want, c.within)
				}
				close(over)
				_ = conn.Close()
				s.stop(t)
			})
		})
	}
}

// TestMemory guards against clients that keep out others by holding much: bodies that stop
// short of their end must give way, and calm requests, small and large, must be answered.
func TestMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 2 << 20
		s := newServer(budget, 0)
		body := strings.Repeat("b", bodyLimit)
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for range 20 {
			c := s.l.dial()
			go func() { _, _ = io.WriteString(c, request[:len(request)-1]) }()
			synctest.Wait()
			if used := s.budget.Used(); used > budget {
				t.Fatalf("%d bytes are used, want at most %d", used, budget)
			}
		}
		if got := s.status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"); got != statusRan {
			t.Errorf("small request: status %d, want %d", got, statusRan)
		}
		<-time.After(quota.StuckAfter)
		if got := s.status(request); got != statusRan {
			t.Errorf("large request: status %d, want %d", got, statusRan)
		}
		if s.meter.count(conns.Displaced) == 0 {
			t.Error("nobody was counted as displaced")
		}
		s.stop(t)
	})
}

// TestRunningRequestsStay guards against a request that has been read and is not answered
// because others need its memory, and against an answer that is a promise although the request
// has run.
func TestRunningRequestsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(1<<20, 0)
		release := make(chan struct{})
		s.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			<-release
			w.WriteHeader(statusRan)
		}
		body := strings.Repeat("b", bodyLimit)
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		results := make(chan int, 10)
		for range 3 {
			go func() { results <- s.status(request) }()
			<-time.After(2 * time.Second)
		}
		if got := s.status(request); got != http.StatusServiceUnavailable {
			t.Errorf("without memory: status %d, want 503", got)
		}
		close(release)
		for range 3 {
			if got := <-results; got != statusRan {
				t.Errorf("running request: status %d, want %d", got, statusRan)
			}
		}
		s.stop(t)
	})
}

// TestStuckReaders guards against answers that stay in memory because nobody reads them, and
// against a slow reader that loses its answer although it makes progress.
func TestStuckReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(1<<20, 0)
		const answerBytes = 300 << 10
		s.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if !conns.FromContext(r.Context()).ChargeAnswer(answerBytes) {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			_, _ = w.Write(make([]byte, answerBytes))
		}
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		stuck := s.l.dial()
		_, _ = io.WriteString(stuck, request)
		slow := s.l.dial()
		_, _ = io.WriteString(slow, request)
		go s.watch(20 * time.Second)
		res, err := http.ReadResponse(bufio.NewReaderSize(slow, 16), nil)
		if err != nil {
			t.Fatal(err)
		}
		piece := make([]byte, 32<<10)
		n := 0
		for err == nil {
			var m int
			m, err = io.ReadFull(res.Body, piece)
			n += m
			<-time.After(1500 * time.Millisecond)
		}
		if n != answerBytes {
			t.Errorf("the slow reader got %d bytes, want %d (%v)", n, answerBytes, err)
		}
		<-time.After(10 * time.Second)
		if got := s.meter.count(conns.SlowReader); got != 1 {
			t.Errorf("%d slow readers were counted, want 1", got)
		}
		s.stop(t)
	})
}

// TestConnectionLimit guards against callers that get no connection since others hold all of
// them, and against running requests that are cut for new connections.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 4
		s := newServer(8<<20, limit)
		release := make(chan struct{})
		s.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if r.URL.Path == "/wait" {
				<-release
			}
			w.WriteHeader(statusRan)
		}
		running := make(chan int, 1)
		go func() { running <- s.status("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n") }()
		<-time.After(10 * time.Second) // it is the connection without progress for longest
		for i := range 10 {
			_ = s.l.dial()
			<-time.After(10 * time.Millisecond)
			if i >= limit && s.meter.count(conns.Displaced) == 0 {
				t.Fatal("no connection was closed for new ones")
			}
		}
		if got := s.status("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); got != statusRan {
			t.Errorf("calm request: status %d, want %d", got, statusRan)
		}
		close(release)
		if got := <-running; got != statusRan {
			t.Errorf("running request: status %d, want %d", got, statusRan)
		}
		s.stop(t)
	})
}

// TestGuard guards against a listener whose connections exceed its limit, and against a
// connection in use that is closed instead of a silent one.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListener()
		m := &meter{counts: make(map[string]int64)}
		limits := conns.NewLimits(0, 0, m, slog.New(slog.DiscardHandler))
		guarded := limits.Guard("tasks", l, 3)
		go func() {
			for {
				c, err := guarded.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}()
			}
		}()
		used := l.dial()
		var silent []net.Conn
		for range 5 {
			<-time.After(time.Second)
			silent = append(silent, l.dial())
			<-time.After(time.Second)
			if _, err := io.WriteString(used, "x"); err != nil {
				t.Fatalf("the connection in use was closed: %v", err)
			}
		}
		synctest.Wait()
		open := 0
		for _, c := range silent {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				open++
			}
		}
		if open != 2 || m.count(conns.Displaced) != 3 {
			t.Errorf("%d silent connections are open and %d were displaced, want 2 and 3", open, m.count(conns.Displaced))
		}
		_ = l.Close()
		for _, c := range append(silent, used) {
			_ = c.Close()
		}
	})
}

// TestShares guards against shares that exceed the descriptors.
func TestShares(t *testing.T) {
	for _, n := range []int{500, 1024, 4100, 8192, 1 << 20} {
		s := conns.Share(n)
		if sum := s.Callers + s.Hosts + s.Tasks + 2*s.Small; sum > n-200 || s.Callers < (n-200)/3 {
			t.Errorf("%d descriptors: %+v", n, s)
		}
	}
}
