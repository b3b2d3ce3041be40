package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

// lateRequest is a request whose last byte is sent some time after its host began to stop.
type lateRequest struct {
	id        string
	sentAfter time.Duration
	answered  bool // a complete response arrived
	status    int
	err       error
}

// sendLate opens a connection to a host and sends the head of a POST at once, and the end of its
// body when the request is due.
func (d *deployment) sendLate(r *lateRequest, stopped time.Time) {
	conn, err := d.network.dial(context.Background(), "tcp", callerAddress(0))
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	const body = "order"
	head := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		names.RequestID, r.id, names.Deadline, longTimeout.Milliseconds(), len(body), body[:len(body)-1])
	read := make(chan struct{})
	go func() {
		defer close(read)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
		}
		if r.err = err; err == nil {
			r.answered, r.status = true, res.StatusCode
		}
	}()
	// A write fails if the host has closed the connection, which the reader reports too.
	_, _ = io.WriteString(conn, head)
	<-time.After(time.Until(stopped.Add(r.sentAfter)))
	_, _ = io.WriteString(conn, body[len(body)-1:])
	<-read
}

// TestLateRequestsAreAnswered guards against requests that a stopping host takes late in its
// grace period, passes on, and cuts without an answer at the end, and against a status that
// implies "not run" for one that ran.
func TestLateRequestsAreAnswered(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		for _, delay := range []time.Duration{50 * time.Millisecond, grace / 4, longTimeout} {
			t.Run(fmt.Sprintf("grace %v, replicas take %v", grace, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkLateRequests(t, grace, delay) })
			})
		}
	}
}

func checkLateRequests(t *testing.T, grace, delay time.Duration) {
	d := newDeployment(t, shards)
	d.grace = grace
	d.doc.Routes = append(d.doc.Routes, core.Route{Name: "order", Host: "h", Prefix: "/order/", Timeout: longTimeout, Attempts: 1})
	for _, s := range d.doc.Routes[0].Gather {
		d.doc.Routes[1].Split = append(d.doc.Routes[1].Split, core.Share{Service: s, Weight: 1})
	}
	d.doc.Version++
	d.directory.publish(core.DirectoryItem{Routing: &d.doc})
	stop := d.start(0)
	<-time.After(4 * time.Second)
	d.delay.Store(int64(delay))
	stopped := time.Now()
	stop()
	var wait sync.WaitGroup
	var requests []*lateRequest
	for i := range 40 {
		opened := time.Duration(i) * grace / 40
		for n, sent := range []time.Duration{opened, opened + grace/4, opened + grace/2, grace * 8 / 10, grace * 9 / 10} {
			r := &lateRequest{id: fmt.Sprintf("r%d-%v-%v", n, opened, sent), sentAfter: sent}
			requests = append(requests, r)
			wait.Go(func() { d.sendLate(r, stopped) })
		}
		<-time.After(time.Until(stopped.Add(opened + grace/40)))
	}
	wait.Wait()
	<-time.After(longTimeout) // until the replicas have answered
	passedOn := 0
	for _, r := range requests {
		runs := d.runs[r.id]
		passedOn += runs
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", r.id, runs)
		case runs > 0 && !r.answered:
			t.Errorf("%s was passed on and got no answer: %v", r.id, r.err)
		case runs > 0 && r.status == http.StatusServiceUnavailable:
			t.Errorf("%s got 503 and ran", r.id)
		}
	}
	if passedOn == 0 {
		t.Error("no request was passed on")
	}
}
