package tasks_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/tasks"
)

// recorder is a core.TaskRunner that keeps the tasks and answers each with a part.
type recorder struct {
	mu    sync.Mutex
	tasks []core.Task
}

func (r *recorder) Execute(_ context.Context, t core.Task, sink func(core.TaskResult)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks = append(r.tasks, t)
	sink(core.TaskResult{Parts: []core.TaskPart{{Shard: 1, Stamp: "s"}}, Records: []byte("record")})
	return nil
}

// TestRequestsArriveUnchanged guards against a request that another host gets changed, and
// against one whose bytes break the link between the hosts for the tasks of other callers: an ID
// or a query string need not be valid UTF-8.
func TestRequestsArriveUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := new(recorder)
	s, err := peer.NewServer(tasks.NewHandler(r, slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(ctx, l) })
	links := peer.NewClient("host-1", 1, new(net.Dialer).DialContext)
	v := views{ready: 2, running: 2}
	c := tasks.New(tasks.Deps{Self: core.NewHost("host-1", "a", "10.0.0.1:1"), Views: v, Reachability: v, Peers: links, Log: slog.New(slog.DiscardHandler)})
	other := core.NewHost("host-0", "a", l.Addr().String())
	for _, want := range []core.TaskRequest{
		{ID: "plain", Method: "GET", URI: "/q", Host: "h"},
		{ID: "id-\xff\xfe", Method: "GET", URI: "/q?name=\xe9\x80", Host: "h", Header: core.Header(nil).Append("X", "\xff")},
		{ID: "large", Method: "POST", URI: "/q", Host: "h", Body: bytes.Repeat([]byte("\x00\xff"), 100<<10)},
	} {
		task := core.Task{Request: &want, Route: "query", Services: []core.ServiceName{"a", "b"}, Deadline: time.Now().Add(time.Minute)}
		parts := 0
		if err := c.Run(t.Context(), other, task, func(res core.TaskResult) { parts += len(res.Parts) }); err != nil || parts != 1 {
			t.Fatalf("%q: %d parts, error %v", want.ID, parts, err)
		}
		last := r.tasks[len(r.tasks)-1]
		got := last.Request
		if got.ID != want.ID || got.Method != want.Method || got.URI != want.URI || got.Host != want.Host ||
			!bytes.Equal(got.Header, want.Header) || !bytes.Equal(got.Body, want.Body) || len(last.Services) != 2 {
			t.Errorf("%q arrived as %q with URI %q, header %q and %d bytes of body", want.ID, got.ID, got.URI, got.Header, len(got.Body))
		}
	}
	links.Close()
	stop()
	served.Wait()
}
