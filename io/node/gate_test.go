package node_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
	"oriolebarrow/io/node"
)

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
		gate := node.NewGate(func() pause.Reading {
			now := time.Now()
			return pause.Reading{Wall: now.Round(0).Add(time.Duration(suspended.Load())), Monotonic: now.Sub(start)}
		})
		began, end := make(chan struct{}, 8), make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = gate.Run(ctx, func(ctx context.Context) error {
				began <- struct{}{}
				<-end
				return nil
			})
		}()
		time.Sleep(time.Second)
		counter := new(calls)
		servers, hosts := gate.Backend(backend{calls: counter}), gate.Peers(peers{calls: counter})
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
		gate.Open()
		end <- struct{}{}
		synctest.Wait()
		if gate.Open() || counter.sent.Load() != 2 {
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
