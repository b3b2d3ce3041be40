package peer_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callTime = time.Second
	farTime  = time.Hour
)

var remote = core.NewHost("h2", "mixco", "h2")

// memory is an in-memory listener; each dial is a net.Pipe.
type memory struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	wrap   func(net.Conn) net.Conn // the dialling side
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}
func (m *memory) Close() error   { m.once.Do(func() { close(m.closed) }); return nil }
func (m *memory) Addr() net.Addr { return &net.TCPAddr{} }

func (m *memory) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	m.conns <- far
	if m.wrap != nil {
		near = m.wrap(near)
	}
	return near, nil
}

// cutter closes a connection after a number of bytes in one direction.
type cutter struct {
	net.Conn
	left  *atomic.Int64
	reads bool
}

func (c cutter) limit(p []byte) ([]byte, bool) {
	left := c.left.Add(-int64(len(p)))
	if left >= 0 {
		return p, false
	}
	return p[:max(0, left+int64(len(p)))], true
}

func (c cutter) Write(p []byte) (int, error) {
	if c.reads {
		return c.Conn.Write(p)
	}
	part, cut := c.limit(p)
	n, err := c.Conn.Write(part)
	if cut {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, err
}

func (c cutter) Read(p []byte) (int, error) {
	if !c.reads {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:1]) // each byte is a place to cut
	if _, cut := c.limit(p[:n]); cut {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// handle is a Handler of one function.
type handle func(ctx context.Context, f *wire.Frame, reply peer.Reply)

func (h handle) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) { h(ctx, f, reply) }

// run serves h and calls test with a client of it, in a bubble that ends only
// when all their goroutines have.
func run(t *testing.T, wrap func(net.Conn) net.Conn, h handle, test func(*testing.T, *peer.Client, *peer.Server)) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{conns: make(chan net.Conn, 8), closed: make(chan struct{}), wrap: wrap}
		s, err := peer.NewServer(h)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		var served sync.WaitGroup
		served.Go(func() { _ = s.Serve(ctx, m) })
		c := peer.NewClient("h1", 1, m.dial)
		test(t, c, s)
		c.Close()
		stop()
		served.Wait()
	})
}

func result(o core.Outcome, body string) *wire.Frame {
	r := core.OrderResult{Outcome: o, Body: []byte(body)}
	return &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: peer.OrderResultToWire(r)}}
}

func redeem(c *peer.Client, token string, limit time.Duration) (core.OrderResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return c.Redeem(ctx, remote, token, "r", core.Order{Key: "k"}, time.Now().Add(limit))
}

func notRun(err error) bool {
	var call *core.CallError
	return errors.As(err, &call) && call.NotRun
}

// Guards against a not_run for a request that reached the other host, and a
// request that arrives twice, when the link ends at any byte either way.
func TestLinkCutAtEachByte(t *testing.T) {
	for _, reads := range []bool{false, true} {
		outcomes := map[string]int{}
		for at, whole := int64(0), false; !whole; at++ {
			left := new(atomic.Int64)
			left.Store(at)
			var ran atomic.Int64
			run(t, func(c net.Conn) net.Conn { return cutter{c, left, reads} },
				func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
					ran.Add(1)
					_ = reply(true, result(core.Complete, "x"))
				},
				func(t *testing.T, c *peer.Client, _ *peer.Server) {
					_, err := redeem(c, "t", farTime)
					synctest.Wait()
					n := ran.Load()
					if n > 1 || notRun(err) && n > 0 || err == nil && n != 1 {
						t.Fatalf("cut after %d bytes: error %v, ran %d times", at, err, n)
					}
					outcomes[fmt.Sprintf("ran %d, ok %v", n, err == nil)]++
					whole = err == nil
				})
			if at > 4096 {
				t.Fatal("no reply without a cut")
			}
		}
		t.Logf("reads %v: %v", reads, outcomes)
		if outcomes["ran 1, ok true"] != 1 || reads && outcomes["ran 1, ok false"] == 0 || !reads && outcomes["ran 0, ok false"] == 0 {
			t.Errorf("reads %v: outcomes %v", reads, outcomes)
		}
	}
}

// stalled blocks writes while it holds a channel.
type stalled struct {
	net.Conn
	until *atomic.Pointer[chan struct{}]
}

func (s stalled) Write(p []byte) (int, error) {
	if c := s.until.Load(); c != nil {
		<-*c
	}
	return s.Conn.Write(p)
}

// Guards against a queued request that is sent after its caller was told
// not_run, because it gave up or its deadline passed in the queue.
func TestWithdrawnFrameIsNeverSent(t *testing.T) {
	var until atomic.Pointer[chan struct{}]
	var got sync.Map
	h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
		got.Store(f.GetRedeem().GetToken(), true)
		_ = reply(true, result(core.Complete, ""))
	}
	run(t, func(c net.Conn) net.Conn { return stalled{c, &until} }, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		ask := func(ctx context.Context, token string, limit time.Duration) error {
			_, err := c.Redeem(ctx, remote, token, "r", core.Order{}, time.Now().Add(limit))
			return err
		}
		if err := ask(context.Background(), "opens the link", farTime); err != nil {
			t.Fatal(err)
		}
		release := make(chan struct{})
		until.Store(&release)
		limited, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		errs := make([]error, 3)
		var all sync.WaitGroup
		all.Go(func() { errs[0] = ask(context.Background(), "written first", farTime) })
		synctest.Wait() // its write has taken the link
		all.Go(func() { errs[1] = ask(limited, "given up", farTime) })
		all.Go(func() { errs[2] = ask(context.Background(), "late", callTime) })
		time.Sleep(2 * callTime)
		close(release)
		all.Wait()
		synctest.Wait()
		if errs[0] != nil || !notRun(errs[1]) || !notRun(errs[2]) {
			t.Errorf("errors %v, want none, not run, not run", errs)
		}
		for _, token := range []string{"given up", "late"} {
			if _, ok := got.Load(token); ok {
				t.Errorf("%q was sent after it was answered as not run", token)
			}
		}
	})
}

// Guards against a reply that reaches another request, a second or late reply
// that blocks the link, and a reply without an answer that counts as not run.
func TestRepliesOutOfOrderTwiceAndMalformed(t *testing.T) {
	var held []func()
	var mu sync.Mutex
	h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
		token := f.GetRedeem().GetToken()
		answer := func() {
			for i := range 4 { // the last one comes after the end
				_ = reply(i == 2, result(core.Complete, token))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		switch token {
		case "held":
			held = append(held, answer)
		case "empty":
			_ = reply(true, &wire.Frame{})
		case "other kind":
			_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
		default:
			answer()
			for _, late := range held {
				late()
			}
		}
	}
	run(t, nil, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		first := make(chan string, 1)
		go func() {
			r, _ := redeem(c, "held", farTime)
			first <- string(r.Body)
		}()
		synctest.Wait()
		for _, token := range []string{"empty", "other kind"} {
			if _, err := redeem(c, token, farTime); err == nil || notRun(err) {
				t.Errorf("%s reply: error %v, want one that proves nothing", token, err)
			}
		}
		for _, token := range []string{"second", "third"} {
			if r, err := redeem(c, token, farTime); err != nil || string(r.Body) != token {
				t.Errorf("%s: answer %q, error %v", token, r.Body, err)
			}
		}
		if got := <-first; got != "held" {
			t.Errorf("answer %q to the request that was overtaken", got)
		}
	})
}

// Guards against a host whose faulty bytes end the service of other hosts.
func TestMalformedBytesEndOnlyTheirLink(t *testing.T) {
	faulty := true
	wrap := func(c net.Conn) net.Conn {
		if faulty {
			faulty = false
			_, _ = c.Write([]byte("\xff\xff\xff\xff not a drpc frame"))
		}
		return c
	}
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) { _ = reply(true, result(core.Complete, "")) }
	run(t, wrap, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		if _, err := redeem(c, "t", farTime); err == nil {
			t.Error("no error on the faulty link")
		}
		c.Close()
		if _, err := redeem(c, "t", farTime); err != nil {
			t.Errorf("next link: %v", err)
		}
	})
}

// Guards against a shutdown that ends before a running exchange was answered.
func TestDrainWaitsForRunningExchanges(t *testing.T) {
	var finish chan struct{}
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		<-finish
		_ = reply(true, result(core.Complete, ""))
	}
	run(t, nil, h, func(t *testing.T, c *peer.Client, s *peer.Server) {
		finish = make(chan struct{})
		answered := make(chan error, 1)
		go func() {
			_, err := redeem(c, "t", farTime)
			answered <- err
		}()
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), callTime/4)
		defer cancel()
		if n := s.Drain(short); n != 1 {
			t.Errorf("%d exchanges open at the bound, want 1", n)
		}
		close(finish)
		if n := s.Drain(context.Background()); n != 0 {
			t.Errorf("%d exchanges open after the reply, want 0", n)
		}
		if err := <-answered; err != nil {
			t.Errorf("drained exchange: %v", err)
		}
	})
}

// Guards against requests that wait beyond their deadline for another request's
// dial to a host that doesn't answer.
func TestWaitForADialEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := peer.NewClient("h1", 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		start := time.Now()
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				if _, err := redeem(c, "t", farTime); !notRun(err) || time.Since(start) > callTime {
					t.Errorf("error %v after %v, want not run within %v", err, time.Since(start), callTime)
				}
			})
		}
		time.Sleep(callTime / 2)
		ctx, cancel := context.WithTimeout(context.Background(), callTime/100)
		defer cancel()
		asked := time.Now()
		_, err := c.Redeem(ctx, remote, "t", "r", core.Order{}, time.Now().Add(farTime))
		if waited := time.Since(asked); !notRun(err) || waited > callTime/100 {
			t.Errorf("error %v after %v, want not run when the context ends", err, waited)
		}
		all.Wait()
	})
}

// Guards against a duplicated frame whose end cancels the exchange that runs
// under the same id.
func TestEndOfADuplicatedFrameCancelsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second, done := make(chan struct{}), make(chan struct{})
		var lost atomic.Bool
		s, err := peer.NewServer(handle(func(ctx context.Context, f *wire.Frame, _ peer.Reply) {
			if f.GetRedeem().GetToken() == "first" {
				<-second
				return
			}
			close(second)
			select {
			case <-ctx.Done():
				lost.Store(true)
			case <-done:
			}
		}))
		if err != nil {
			t.Fatal(err)
		}
		in := new(wire.Frames)
		for _, token := range []string{"first", "second"} {
			in.Frames = append(in.Frames, &wire.Frame{Id: 1, Body: &wire.Frame_Redeem{Redeem: &wire.Redeem{Token: token}}})
		}
		go func() { _ = s.Link(&stream{ctx: context.Background(), in: in, done: done}) }()
		synctest.Wait()
		if lost.Load() {
			t.Error("the end of one exchange cancelled the other")
		}
		close(done)
	})
}

// Guards against a remaining time that overflows and becomes a deadline in the
// past or far in the future.
func TestDeadlineOfAFaultyRemainingTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for us, want := range map[int64]time.Duration{
		1: time.Microsecond, -1: 0, math.MinInt64: 0,
		math.MaxInt64: time.Hour, math.MaxInt64 / 1000 * 2: time.Hour,
	} {
		b := peer.BatchFromWire(&wire.ReadBatch{RemainingUs: us}, now)
		if got := b.Query.Deadline.Sub(now); got != want {
			t.Errorf("%d us: %v, want %v", us, got, want)
		}
	}
}
