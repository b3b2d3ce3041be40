package gate_test

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

	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
	"oriolebarrow/io/gate"
	"oriolebarrow/io/remote"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callCounter counts the calls that pass the gate.
type callCounter struct {
	sent atomic.Int64
}

type backend struct {
	core.Backend
	*callCounter
}

func (b backend) Order(context.Context, string, core.OrderCall) ([]byte, error) {
	b.sent.Add(1)
	return nil, nil
}

type peers struct {
	core.PeerClient
	*callCounter
}

func (p peers) Redeem(context.Context, core.Host, string, core.RequestID, core.Order, time.Time) (core.OrderResult, error) {
	p.sent.Add(1)
	return core.OrderResult{}, nil
}

// TestClosedUntilRefreshed guards against calls that are sent on the basis of the
// outdated view after a suspension, several refreshes for one pause, a gate that stays
// closed, and a gate that opens after a refresh that began before a second pause.
func TestClosedUntilRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		start := time.Now()
		var suspended atomic.Int64 // nanoseconds by which only the wall clock advances, as in a suspension
		g := gate.New(func() pause.Reading {
			now := time.Now()
			return pause.Reading{Wall: now.Round(0).Add(time.Duration(suspended.Load())), Monotonic: now.Sub(start)}
		}, slog.New(slog.DiscardHandler))
		started, finish := make(chan struct{}, 8), make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx, func(ctx context.Context) error {
				started <- struct{}{}
				<-finish
				return nil
			})
		}()
		time.Sleep(time.Second)
		counter := new(callCounter)
		servers, hosts := g.GuardBackend(backend{callCounter: counter}, nil), g.GuardPeers(peers{callCounter: counter})
		send := func(deadline time.Time) error {
			_, err := servers.Order(ctx, "b1", core.OrderCall{Deadline: deadline})
			_, redeemErr := hosts.Redeem(ctx, core.Host{}, "t", "r", core.Order{}, deadline)
			return errors.Join(err, redeemErr)
		}
		if err := send(time.Now().Add(time.Second)); err != nil || counter.sent.Load() != 2 {
			t.Fatalf("before the pause: error %v, %d calls, want 2", err, counter.sent.Load())
		}

		suspended.Store(int64(time.Hour))
		for name, test := range map[string]struct {
			deadline time.Time
			want     core.Reason
		}{
			"deadline passed": {time.Now().Add(-time.Second), core.ReasonDeadline},
			"deadline ahead":  {time.Now().Add(time.Minute), core.ReasonNotReady},
		} {
			var call *core.CallError
			if err := send(test.deadline); !errors.As(err, &call) || !call.NotRun || call.Reason != test.want {
				t.Errorf("%s: error %v, want one with NotRun and reason %s", name, err, test.want)
			}
		}
		<-started
		suspended.Store(int64(2 * time.Hour)) // a second pause during the refresh
		g.Open()
		finish <- struct{}{}
		synctest.Wait()
		if g.Open() || counter.sent.Load() != 2 {
			t.Errorf("gate opened after a refresh that began before the last pause, %d calls sent", counter.sent.Load())
		}
		<-started
		finish <- struct{}{}
		synctest.Wait()
		if err := send(time.Now().Add(time.Second)); err != nil {
			t.Errorf("after the refresh: %v", err)
		}
		time.Sleep(time.Second)
		if len(started) != 0 {
			t.Errorf("%d further refreshes, want one for each pause", len(started))
		}
		stop()
		<-done
	})
}

// recordingConn records whether the body of an order is written. A server can't
// start the order without the body.
type recordingConn struct {
	net.Conn
	body *atomic.Bool // whether the body was written
}

func (c recordingConn) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("order_id")) {
		c.body.Store(true)
	}
	return len(p), nil
}

// TestNoOrderAfterDeadline guards against an order that is written after its deadline
// because the process was paused between the check of the gate and the write, here
// while the connection is opened.
func TestNoOrderAfterDeadline(t *testing.T) {
	for pauseTime, sent := range map[time.Duration]bool{0: true, 2 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			conn, server := net.Pipe()
			var body atomic.Bool
			client := remote.New(remote.Options{Connections: 1, Dial: func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(pauseTime)
				return recordingConn{conn, &body}, nil
			}})
			g := gate.New(func() pause.Reading { return pause.Reading{Wall: time.Unix(1000, 0)} }, slog.New(slog.DiscardHandler)) // never detects a pause
			result := make(chan error, 1)
			go func() {
				_, err := g.GuardBackend(client, client).Order(context.Background(), "b1", core.OrderCall{
					OrderID: "t", Body: []byte("{}"), Deadline: time.Now().Add(time.Second),
				})
				result <- err
			}()
			time.Sleep(pauseTime)
			synctest.Wait()
			_ = server.Close()
			var call *core.CallError
			err := <-result
			if !errors.As(err, &call) || call.NotRun == sent || body.Load() != sent {
				t.Errorf("paused for %v: error %v, body written %v, want %v", pauseTime, err, body.Load(), sent)
			}
			if !sent && call.Reason != core.ReasonDeadline {
				t.Errorf("reason %s, want deadline", call.Reason)
			}
			client.Close()
		})
	}
}
