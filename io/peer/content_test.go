package peer_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// largeBytes is a size that takes several chunks, the last of which is not full.
const largeBytes = 100<<10 + 7

// budgetOf returns limits whose budget has a number of bytes.
func budgetOf(n int64) *conns.Limits {
	const memoryDivisor = 4
	return conns.NewLimits(memoryDivisor*n, 0, nil, slog.New(slog.DiscardHandler))
}

// sample returns n bytes in which each part differs from the others.
func sample(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

func redeemBody(ctx context.Context, c *peer.Client, token string, body []byte) (core.OrderResult, error) {
	return c.Redeem(ctx, remote, token, "r", core.Order{Key: "k", Body: body}, time.Now().Add(longTimeout))
}

func reason(err error) core.Reason {
	var call *core.CallError
	if !errors.As(err, &call) {
		return ""
	}
	return call.Reason
}

func checkUnused(t *testing.T, limits ...*conns.Limits) {
	t.Helper()
	for _, l := range limits {
		if used, holders := l.Budget.Used(), l.Budget.Holders(); used != 0 || holders != 0 {
			t.Errorf("in the end, %d holders have %d bytes", holders, used)
		}
	}
}

// TestLargeContents guards against large contents that arrive changed or in another request,
// and against bytes that stay charged.
func TestLargeContents(t *testing.T) {
	limits := budgetOf(4 << 20)
	h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
		_ = reply(true, orderResultFrame(core.Complete, string(f.GetRedeem().GetOrder().GetBody())))
	}
	withLimits(t, limits, nil, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		for _, n := range []int{0, 1, 16 << 10, 16<<10 + 1, 32 << 10, largeBytes, 1 << 20} {
			body := sample(n)
			answers := make(chan bool, 3)
			for i := range cap(answers) {
				mine := append([]byte{byte(i)}, body...)
				go func() {
					r, err := redeemBody(context.Background(), c, "t", mine)
					answers <- err == nil && bytes.Equal(r.Body, mine)
				}()
			}
			for range cap(answers) {
				if !<-answers {
					t.Errorf("%d bytes: the request or its answer arrived changed", n)
				}
			}
		}
		synctest.Wait()
		checkUnused(t, limits)
	})
}

// TestCutInContents guards against a request that is reported as not run although the other
// host received all of it, and against one that runs without all of its contents. The link is
// cut at many points of the transfer.
func TestCutInContents(t *testing.T) {
	body := sample(largeBytes)
	const step = 997
	notRunSeen, uncut := 0, false
	for cutAt := int64(0); !uncut; cutAt += step {
		remaining := new(atomic.Int64)
		remaining.Store(cutAt)
		var ran atomic.Int64
		h := func(_ context.Context, f *wire.Frame, reply peer.Reply) {
			if !bytes.Equal(f.GetRedeem().GetOrder().GetBody(), body) {
				t.Errorf("cut after %d bytes: the request runs with other contents", cutAt)
			}
			ran.Add(1)
			_ = reply(true, orderResultFrame(core.Complete, "x"))
		}
		withServer(t, func(c net.Conn) net.Conn { return cutConn{c, remaining, false} }, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
			_, err := redeemBody(context.Background(), c, "t", body)
			synctest.Wait()
			if n := ran.Load(); n > 1 || notRun(err) && n > 0 || err == nil && n != 1 {
				t.Fatalf("cut after %d bytes: error %v, ran %d times", cutAt, err, n)
			}
			if notRun(err) {
				notRunSeen++
			}
			uncut = err == nil
		})
		if cutAt > 2*largeBytes {
			t.Fatal("no reply although the link was not cut")
		}
	}
	if notRunSeen < largeBytes/step/2 {
		t.Errorf("%d requests were reported as not run, want those that were cut before their last part", notRunSeen)
	}
}

// countingConn counts the written bytes.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// TestNoRoomForRequest guards against a host that takes more from other hosts than its budget
// has, and against contents that are sent although they are refused.
func TestNoRoomForRequest(t *testing.T) {
	limits := budgetOf(64 << 10)
	var written atomic.Int64
	ran := 0
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		ran++
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withLimits(t, limits, func(c net.Conn) net.Conn { return countingConn{c, &written} }, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		_, err := redeemBody(context.Background(), c, "large", sample(largeBytes))
		if !notRun(err) || reason(err) != core.ReasonOverload || ran != 0 {
			t.Errorf("error %v, ran %d times; want one that states that the request did not run for lack of memory", err, ran)
		}
		if n := written.Load(); n > largeBytes/4 {
			t.Errorf("%d bytes were sent of a request that was refused", n)
		}
		if _, err := redeemBody(context.Background(), c, "small", sample(1000)); err != nil {
			t.Errorf("small request: %v", err)
		}
		synctest.Wait()
		checkUnused(t, limits)
	})
}

// stallingConn stops writing after half of largeBytes until a channel is closed.
type stallingConn struct {
	countingConn
	release <-chan struct{}
}

func (c stallingConn) Write(p []byte) (int, error) {
	if c.written.Load() > largeBytes/2 {
		<-c.release
	}
	return c.countingConn.Write(p)
}

// TestUnfinishedGivesWay guards against a request whose contents stop arriving and that keeps
// others out, and against one that then runs.
func TestUnfinishedGivesWay(t *testing.T) {
	limits := budgetOf(192 << 10)
	var release chan struct{}
	wrap := func(c net.Conn) net.Conn {
		release = make(chan struct{}) // in the bubble of the test
		return stallingConn{countingConn{c, new(atomic.Int64)}, release}
	}
	var ran atomic.Int64
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		ran.Add(1)
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withLimits(t, limits, wrap, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		first := make(chan error, 1)
		go func() {
			_, err := redeemBody(context.Background(), c, "stalls", sample(largeBytes))
			first <- err
		}()
		synctest.Wait()
		if used := limits.Budget.Used(); used < largeBytes {
			t.Fatalf("%d bytes are charged, want those of the request that stalls", used)
		}
		time.Sleep(2 * time.Second)
		other, cancel := context.WithCancel(context.Background())
		defer cancel()
		lease, ok := limits.NewLease(other, "hosts", largeBytes, func() {})
		if !ok {
			t.Error("there is no room beside a request that stalls")
		} else {
			lease.Release()
		}
		close(release)
		if err := <-first; !notRun(err) || ran.Load() != 0 {
			t.Errorf("error %v and %d requests ran; the request that stalled must not run", err, ran.Load())
		}
		synctest.Wait()
		checkUnused(t, limits)
	})
}

// TestContentsOfEndedRequest guards against contents that are sent or stay charged after the
// caller has left.
func TestContentsOfEndedRequest(t *testing.T) {
	server, client := budgetOf(4<<20), budgetOf(4<<20)
	var blocked atomic.Pointer[chan struct{}]
	var ran atomic.Int64
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		ran.Add(1)
		_ = reply(true, orderResultFrame(core.Complete, ""))
	}
	withLimits(t, server, func(c net.Conn) net.Conn { return blockingConn{c, &blocked} }, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		if _, err := redeemBody(context.Background(), c, "opens the link", nil); err != nil {
			t.Fatal(err)
		}
		lease, ok := client.NewLease(context.Background(), "callers", largeBytes, func() {})
		if !ok {
			t.Fatal("no lease")
		}
		ctx, cancel := context.WithTimeout(core.WithLease(context.Background(), lease), callTimeout)
		defer cancel()
		release := make(chan struct{})
		blocked.Store(&release)
		_, err := redeemBody(ctx, c, "left", sample(largeBytes))
		lease.Release()
		if !notRun(err) {
			t.Errorf("error %v, want one that states that the request did not run", err)
		}
		close(release)
		time.Sleep(callTimeout)
		synctest.Wait()
		if ran.Load() != 1 {
			t.Errorf("%d requests ran, want the first one only", ran.Load())
		}
		checkUnused(t, server, client)
	})
}

// TestQueuedChunksAreReleased guards against contents that stay charged for good since their caller
// left while a chunk of them was queued, or being written, on a link that stalls.
func TestQueuedChunksAreReleased(t *testing.T) {
	server, client := budgetOf(4<<20), budgetOf(4<<20)
	var release chan struct{}
	wrap := func(c net.Conn) net.Conn {
		release = make(chan struct{}) // in the bubble of the test
		return stallingConn{countingConn{c, new(atomic.Int64)}, release}
	}
	h := func(context.Context, *wire.Frame, peer.Reply) { t.Error("a request runs whose caller has left") }
	withLimits(t, server, wrap, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		const requests = 6 // more than the chunks of one batch
		errs := make(chan error, requests)
		for range requests {
			go func() {
				lease, ok := client.NewLease(context.Background(), "callers", largeBytes, func() {})
				if !ok {
					errs <- errors.New("no lease")
					return
				}
				defer lease.Release()
				ctx, cancel := context.WithTimeout(core.WithLease(context.Background(), lease), callTimeout)
				defer cancel()
				_, err := redeemBody(ctx, c, "left", sample(largeBytes))
				errs <- err
			}()
		}
		for range requests {
			if err := <-errs; !notRun(err) {
				t.Errorf("error %v, want one that states that the request did not run", err)
			}
		}
		synctest.Wait()
		if n := client.Budget.Holders(); n >= requests {
			t.Errorf("%d requests are still charged while the link stalls, want only those of the batch that is being written", n)
		}
		close(release)
		synctest.Wait()
		checkUnused(t, client)
	})
}

// TestNoRoomForReplies guards against a host that keeps more rows for a caller than its budget
// has, and against a shard without its rows that counts as answered.
func TestNoRoomForReplies(t *testing.T) {
	limits := budgetOf(192 << 10)
	h := func(_ context.Context, _ *wire.Frame, reply peer.Reply) {
		for i := range int32(8) {
			_ = reply(false, &wire.Frame{Body: &wire.Frame_ShardResult{ShardResult: &wire.ShardResult{Shard: i, Rows: sample(40 << 10)}}})
		}
		_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
	}
	withServer(t, nil, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		lease, ok := limits.NewLease(context.Background(), "callers", 0, func() {})
		if !ok {
			t.Fatal("no lease")
		}
		batch := core.ReadBatch{Query: core.Query{ID: "q", Deadline: time.Now().Add(longTimeout)}}
		answered, missing := 0, 0
		err := c.Read(core.WithLease(context.Background(), lease), remote, batch, func(r core.ShardResult) {
			switch {
			case r.Missing == core.ReasonOverload && r.Rows == nil:
				missing++
			case bytes.Equal(r.Rows, sample(40<<10)):
				answered++
			}
		})
		if err != nil || answered != 4 || missing != 4 {
			t.Errorf("error %v, %d shards answered and %d missing, want 4 and 4", err, answered, missing)
		}
		lease.Release()
		checkUnused(t, limits)
	})
}
