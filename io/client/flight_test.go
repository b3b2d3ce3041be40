package client_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"oriolebarrow/io/client"
)

// hangingReplica is a stand-in that reads everything and never answers.
type hangingReplica struct{ read atomic.Int64 }

func (h *hangingReplica) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := serverEnd.Read(b)
			h.read.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return clientEnd, nil
}

// TestBytesInFlight guards against a host that sends more to one replica than it can hold
// while it does not answer, and against bytes that stay counted after the calls have ended.
func TestBytesInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes, limit = 256 << 10, 1 << 20
		r := new(hangingReplica)
		cl := client.New(client.Options{Names: names, Dial: r.dial})
		defer cl.Close()
		many := client.Target{ID: "i-1", Address: "10.0.0.1:80", Connections: 100}
		for round := range 2 {
			r.read.Store(0)
			var calls []*client.Call
			results := make(chan client.Result, 100)
			for i := range 20 {
				calls = append(calls, cl.Send(many, client.Request{ID: "r", Method: "POST", URI: fmt.Sprint("/", i), Host: "h", Body: make([]byte, bodyBytes)},
					func(r client.Result) { results <- r }))
			}
			synctest.Wait()
			if got := r.read.Load(); got < limit/2 || got > limit+limit/8 {
				t.Errorf("round %d: the replica got %d bytes, want about %d", round, got, limit)
			}
			for range len(results) {
				if res := <-results; !errors.Is(res.Err, client.ErrNoConn) || !res.NotRun {
					t.Errorf("round %d: got %+v, want ErrNoConn and not run", round, res)
				}
			}
			for _, call := range calls {
				call.Abandon(0)
			}
			synctest.Wait()
		}
		// A single request of any size is sent.
		r.read.Store(0)
		call := cl.Send(many, client.Request{ID: "r", Method: "POST", URI: "/", Host: "h", Body: make([]byte, 3*limit)}, func(client.Result) {})
		synctest.Wait()
		if got := r.read.Load(); got < 3*limit {
			t.Errorf("the replica got %d bytes of a single request", got)
		}
		call.Abandon(0)
		synctest.Wait()
	})
}
