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
	"oriolebarrow/io/conns"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callTimeout = time.Second
	longTimeout = time.Hour // deadline of an order that must not expire
)

var remote = core.NewHost("h2", "mixco", "h2")

// memoryListener is an in-memory listener. dial connects to it with a net.Pipe.
type memoryListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	wrap      func(net.Conn) net.Conn // wraps the client's end; may be nil
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *memoryListener) Close() error   { l.closeOnce.Do(func() { close(l.closed) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	if l.wrap != nil {
		client = l.wrap(client)
	}
	return client, nil
}

// cutConn closes a connection after a number of bytes in one direction.
type cutConn struct {
	net.Conn
	remaining *atomic.Int64 // bytes until the cut
	reads     bool          // count the bytes read instead of those written
}

// limit returns the part of p before the cut, and whether the cut is within p.
func (c cutConn) limit(p []byte) ([]byte, bool) {
	remaining := c.remaining.Add(-int64(len(p)))
	if remaining >= 0 {
		return p, false
	}
	return p[:max(0, remaining+int64(len(p)))], true
}

func (c cutConn) Write(p []byte) (int, error) {
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

func (c cutConn) Read(p []byte) (int, error) {
	if !c.reads {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:1]) // one byte at a time, so that the cut can be after any of them
	if _, cut := c.limit(p[:n]); cut {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// handler is a peer.Handler that is a function.
type handler func(ctx context.Context, f *wire.Frame, reply peer.Reply)

func (h handler) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) { h(ctx, f, reply) }

// withServer calls test with a server for h and a client of it. It runs in a
// synctest bubble, which ends only after all their goroutines have ended.
func withServer(t *testing.T, wrap func(net.Conn) net.Conn, h handler, test func(*testing.T, *peer.Client, *peer.Server)) {
	withLimits(t, nil, wrap, h, test)
}

// withLimits is withServer with a server that has limits.
func withLimits(t *testing.T, limits *conns.Limits, wrap func(net.Conn) net.Conn, h handler, test func(*testing.T, *peer.Client, *peer.Server)) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryListener{conns: make(chan net.Conn, 8), closed: make(chan struct{}), wrap: wrap}
		s, err := peer.NewServer(h)
		if err != nil {
			t.Fatal(err)
		}
		s.SetLimits("hosts", limits)
		ctx, stop := context.WithCancel(context.Background())
		var served sync.WaitGroup
		served.Go(func() { _ = s.Serve(ctx, l) })
		c := peer.NewClient("h1", 1, l.dial)
		test(t, c, s)
		c.Close()
		stop()
		served.Wait()
	})
}

func orderResultFrame(o core.Outcome, body string) *wire.Frame {
	r := core.OrderResult{Outcome: o, Body: []byte(body)}
	return &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: peer.OrderResultToWire(r)}}
}

func redeem(c *peer.Client, token string, timeout time.Duration) (core.OrderResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.Redeem(ctx, remote, token, "r", core.Order{Key: "k"}, time.Now().Add(timeout))
}

func notRun(err error) bool {
	var call *core.CallError
	return errors.As(err, &call) && call.NotRun
}

// Guards against a request that is reported as not run although the other host
// received it, and against one that is executed twice. The link is cut after each
// possible number of bytes, in either direction.
func TestLinkCutAtEachByte(t *testing.T) {
	for _, reads := range []bool{false, true} {
		outcomes := map[string]int{}
		for cutAt, uncut := int64(0), false; !uncut; cutAt++ {
			remaining := new(atomic.Int64)
			remaining.Store(cutAt)
			var ran atomic.Int64
			withServer(t, func(c net.Conn) net.Conn { return cutConn{c, remaining, reads} },
				func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
					ran.Add(1)
					_ = reply(true, orderResultFrame(core.Complete, "x"))
				},
				func(t *testing.T, c *peer.Client, _ *peer.Server) {
					_, err := redeem(c, "t", longTimeout)
					synctest.Wait()
					n := ran.Load()
					if n > 1 || notRun(err) && n > 0 || err == nil && n != 1 {
						t.Fatalf("cut after %d bytes: error %v, ran %d times", cutAt, err, n)
					}
					outcomes[fmt.Sprintf("ran %d, ok %v", n, err == nil)]++
					uncut = err == nil
				})
			if cutAt > 4096 {
				t.Fatal("no reply although the link was not cut")
			}
		}
		t.Logf("reads %v: %v", reads, outcomes)
		if outcomes["ran 1, ok true"] != 1 || reads && outcomes["ran 1, ok false"] == 0 || !reads && outcomes["ran 0, ok false"] == 0 {
			t.Errorf("reads %v: outcomes %v", reads, outcomes)
		}
	}
}

// blockingConn blocks each write until a channel is closed, if one is set.
type blockingConn struct {
	net.Conn
	release *atomic.Pointer[chan struct{}]
}

func (c blockingConn) Write(p []byte) (int, error) {
	if release := c.release.Load(); release != nil {
		<-*release
	}
	return c.Conn.Write(p)
}

// Guards against a queued request that is sent after it was reported as not run,
// because its context ended or its deadline passed while it was queued.
func TestWithdrawnFrameIsNeverSent(t *testing.T) {
	var blocked atomic.Pointer[chan struct{}]
	var received sync.Map
	h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
		received.Store(f.GetRedeem().GetToken(), true)
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withServer(t, func(c net.Conn) net.Conn { return blockingConn{c, &blocked} }, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		send := func(ctx context.Context, token string, timeout time.Duration) error {
			_, err := c.Redeem(ctx, remote, token, "r", core.Order{}, time.Now().Add(timeout))
			return err
		}
		if err := send(context.Background(), "opens the link", longTimeout); err != nil {
			t.Fatal(err)
		}
		release := make(chan struct{})
		blocked.Store(&release)
		short, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		errs := make([]error, 3)
		var all sync.WaitGroup
		all.Go(func() { errs[0] = send(context.Background(), "written first", longTimeout) })
		synctest.Wait() // its write now blocks the link
		all.Go(func() { errs[1] = send(short, "given up", longTimeout) })
		all.Go(func() { errs[2] = send(context.Background(), "late", callTimeout) })
		time.Sleep(2 * callTimeout)
		close(release)
		all.Wait()
		synctest.Wait()
		if errs[0] != nil || !notRun(errs[1]) || !notRun(errs[2]) {
			t.Errorf("errors %v, want none, not run, not run", errs)
		}
		for _, token := range []string{"given up", "late"} {
			if _, ok := received.Load(token); ok {
				t.Errorf("%q was sent although it was reported as not run", token)
			}
		}
	})
}

// Guards against a reply that is delivered to another request, a repeated or late
// reply that blocks the link, and a reply without a result that is reported as not
// run.
func TestOutOfOrderRepeatedAndMalformedReplies(t *testing.T) {
	var delayed []func()
	var mu sync.Mutex
	h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
		token := f.GetRedeem().GetToken()
		answer := func() {
			for i := range 4 { // the last one is sent after the end of the exchange
				_ = reply(i == 2, orderResultFrame(core.Complete, token))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		switch token {
		case "held":
			delayed = append(delayed, answer)
		case "empty":
			_ = reply(true, &wire.Frame{})
		case "other kind":
			_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
		default:
			answer()
			for _, send := range delayed {
				send()
			}
		}
	}
	withServer(t, nil, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		first := make(chan string, 1)
		go func() {
			r, _ := redeem(c, "held", longTimeout)
			first <- string(r.Body)
		}()
		synctest.Wait()
		for _, token := range []string{"empty", "other kind"} {
			if _, err := redeem(c, token, longTimeout); err == nil || notRun(err) {
				t.Errorf("%s reply: error %v, want one that leaves open whether the order ran", token, err)
			}
		}
		for _, token := range []string{"second", "third"} {
			if r, err := redeem(c, token, longTimeout); err != nil || string(r.Body) != token {
				t.Errorf("%s: answer %q, error %v", token, r.Body, err)
			}
		}
		if got := <-first; got != "held" {
			t.Errorf("answer %q to the delayed request", got)
		}
	})
}

// Guards against malformed bytes on one link that stop the server or another link.
func TestMalformedBytesCloseOnlyTheirLink(t *testing.T) {
	malformed := true
	wrap := func(c net.Conn) net.Conn {
		if malformed {
			malformed = false
			_, _ = c.Write([]byte("\xff\xff\xff\xff not a drpc frame"))
		}
		return c
	}
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withServer(t, wrap, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		if _, err := redeem(c, "t", longTimeout); err == nil {
			t.Error("no error on the link with malformed bytes")
		}
		c.Close()
		if _, err := redeem(c, "t", longTimeout); err != nil {
			t.Errorf("next link: %v", err)
		}
	})
}

// Guards against a shutdown that ends before an open exchange is answered.
func TestDrainWaitsForOpenExchanges(t *testing.T) {
	var finish chan struct{}
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		<-finish
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withServer(t, nil, h, func(t *testing.T, c *peer.Client, s *peer.Server) {
		finish = make(chan struct{})
		answered := make(chan error, 1)
		go func() {
			_, err := redeem(c, "t", longTimeout)
			answered <- err
		}()
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), callTimeout/4)
		defer cancel()
		if n := s.Drain(short); n != 1 {
			t.Errorf("%d exchanges open when the context ended, want 1", n)
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

// Guards against a request that waits longer than its context allows for another
// request's dial to a host that doesn't answer.
func TestDialWaitEndsWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := peer.NewClient("h1", 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		start := time.Now()
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				if _, err := redeem(c, "t", longTimeout); !notRun(err) || time.Since(start) > callTimeout {
					t.Errorf("error %v after %v, want not run within %v", err, time.Since(start), callTimeout)
				}
			})
		}
		time.Sleep(callTimeout / 2)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout/100)
		defer cancel()
		sent := time.Now()
		_, err := c.Redeem(ctx, remote, "t", "r", core.Order{}, time.Now().Add(longTimeout))
		if waited := time.Since(sent); !notRun(err) || waited > callTimeout/100 {
			t.Errorf("error %v after %v, want not run when the context ends", err, waited)
		}
		all.Wait()
	})
}

// Guards against a request frame that is received twice: the end of the first
// exchange must not cancel the second one, which has the same id.
func TestDuplicateRequestDoesNotCancelExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second, done := make(chan struct{}), make(chan struct{})
		var cancelled atomic.Bool
		s, err := peer.NewServer(handler(func(ctx context.Context, f *wire.Frame, _ peer.Reply) {
			if f.GetRedeem().GetToken() == "first" {
				<-second
				return
			}
			close(second)
			select {
			case <-ctx.Done():
				cancelled.Store(true)
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
		go func() { _ = s.Link(&singleMessageStream{ctx: context.Background(), in: in, done: done}) }()
		synctest.Wait()
		if cancelled.Load() {
			t.Error("the end of one exchange cancelled the other")
		}
		close(done)
	})
}

// Guards against a remaining time that overflows, so that the deadline is in the
// past or far in the future.
func TestDeadlineOfInvalidRemainingTime(t *testing.T) {
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
