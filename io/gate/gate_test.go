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

// calls counts what passes the gate.
type calls struct {
	sent atomic.Int64
}

type backend struct {
	core.Backend
	*calls
}

func (b backend) Order(context.Context, string, core.OrderRun) ([]byte, error) {
	b.sent.Add(1)
	return nil, nil
}

type peers struct {
	core.Peers
	*calls
}

func (p peers) Redeem(context.Context, core.Host, string, core.RequestID, core.Order, time.Time) (core.OrderResult, error) {
	p.sent.Add(1)
	return core.OrderResult{}, nil
}

// Guards against work that is sent on the outdated view after a suspension,
// many refreshes for one pause, a gate that stays closed, and a gate that opens
// for a refresh that began before a second pause.
func TestGateHoldsWorkUntilTheRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		start := time.Now()
		var suspended atomic.Int64 // only the wall clock shows it
		g := gate.New(func() pause.Reading {
			now := time.Now()
			return pause.Reading{Wall: now.Round(0).Add(time.Duration(suspended.Load())), Monotonic: now.Sub(start)}
		}, slog.New(slog.DiscardHandler))
		began, end := make(chan struct{}, 8), make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx, func(ctx context.Context) error {
				began <- struct{}{}
				<-end
				return nil
			})
		}()
		time.Sleep(time.Second)
		counter := new(calls)
		servers, hosts := g.Backend(backend{calls: counter}, nil), g.Peers(peers{calls: counter})
		send := func(by time.Time) error {
			_, err := servers.Order(ctx, "b1", core.OrderRun{Deadline: by})
			_, other := hosts.Redeem(ctx, core.Host{}, "t", "r", core.Order{}, by)
			return errors.Join(err, other)
		}
		if err := send(time.Now().Add(time.Second)); err != nil || counter.sent.Load() != 2 {
			t.Fatalf("before the pause: error %v, %d calls, want 2", err, counter.sent.Load())
		}

		suspended.Store(int64(time.Hour))
		for name, test := range map[string]struct {
			by   time.Time
			want core.Reason
		}{
			"deadline passed": {time.Now().Add(-time.Second), core.ReasonDeadline},
			"time is left":    {time.Now().Add(time.Minute), core.ReasonNotReady},
		} {
			var call *core.CallError
			if err := send(test.by); !errors.As(err, &call) || !call.NotRun || call.Reason != test.want {
				t.Errorf("%s: error %v, want not run for %s", name, err, test.want)
			}
		}
		<-began
		suspended.Store(int64(2 * time.Hour)) // a second pause during the refresh
		g.Open()
		end <- struct{}{}
		synctest.Wait()
		if g.Open() || counter.sent.Load() != 2 {
			t.Errorf("gate opened after a refresh that began before the last pause, %d calls sent", counter.sent.Load())
		}
		<-began
		end <- struct{}{}
		synctest.Wait()
		if err := send(time.Now().Add(time.Second)); err != nil {
			t.Errorf("after the refresh: %v", err)
		}
		time.Sleep(time.Second)
		if len(began) != 0 {
			t.Errorf("%d more refreshes, want one for each pause", len(began))
		}
		stop()
		<-done
	})
}

// written notes whether an order's body reaches a server, which can't start the
// order by its headers alone.
type written struct {
	net.Conn
	body *atomic.Bool
}

func (w written) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("order_id")) {
		w.body.Store(true)
	}
	return len(p), nil
}

// Guards against an order that is written after its deadline when the process
// was paused between the gate's check and the write, here while dialing.
func TestOrderIsNotWrittenAfterAPauseBeyondItsDeadline(t *testing.T) {
	for held, sent := range map[time.Duration]bool{0: true, 2 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			var body atomic.Bool
			client := remote.New(remote.Options{Connections: 1, Dial: func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(held)
				return written{near, &body}, nil
			}})
			g := gate.New(func() pause.Reading { return pause.Reading{Wall: time.Unix(1000, 0)} }, slog.New(slog.DiscardHandler)) // sees no gap
			failed := make(chan error, 1)
			go func() {
				_, err := g.Backend(client, client).Order(context.Background(), "b1", core.OrderRun{
					OrderID: "t", Body: []byte("{}"), Deadline: time.Now().Add(time.Second),
				})
				failed <- err
			}()
			time.Sleep(held)
			synctest.Wait()
			_ = far.Close()
			var call *core.CallError
			err := <-failed
			if !errors.As(err, &call) || call.NotRun == sent || body.Load() != sent {
				t.Errorf("held for %v: error %v, body written %v, want %v", held, err, body.Load(), sent)
			}
			if !sent && call.Reason != core.ReasonDeadline {
				t.Errorf("reason %s, want deadline", call.Reason)
			}
			client.Close()
		})
	}
}
