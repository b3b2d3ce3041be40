package front_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/io/client"
	"oriolebarrow/io/front"
	"oriolebarrow/io/relay"
)

// BenchmarkOrdinaryRequest measures one request with a head of 20 lines and a body of 1 KB that
// a replica answers, over loopback connections that are kept open.
func BenchmarkOrdinaryRequest(b *testing.B) {
	replica, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = replica.Close() }()
	go answerAll(replica)
	replicas := picker.New("host-0", "a")
	replicas.Put(time.Now(), core.Instance{ID: "i-1", Service: "tickets", Address: replica.Addr().String(), DataCentre: "a", Slots: 2})
	c := client.New(client.Options{Names: names, Dial: new(net.Dialer).DialContext})
	defer c.Close()
	r := relay.New(relay.Deps{
		Replicas: replicas, Client: c, Splitter: route.NewSplitter(0), Log: slog.New(slog.DiscardHandler), Callers: func(core.ServiceName) int { return 1 },
		Extra: budget.NewExtra(budget.ExtraLimits{Window: 10 * time.Second}, 1),
	})
	r.SetTable(route.New(core.Routing{
		Version:   1,
		Routes:    []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Timeout: time.Second, Target: time.Second, Attempts: 1, Split: []core.Share{{Service: "tickets", Weight: 1}}}},
		Upstreams: []core.Upstream{{Name: "tickets", Connections: 26}},
		Limits:    core.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}))
	f := front.New(front.Deps{Relay: r, Names: names, Limits: func() core.CallerLimits { return r.Table().Limits() }})
	server := f.Server()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = f.Serve(server, l) }()
	defer func() { _ = server.Close() }()
	caller, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	request := "POST /a/x HTTP/1.1\r\nHost: h.example\r\nReq-Id: r-1\r\nLeft-Ms: 800\r\n" +
		strings.Repeat("X-More: and more of the same\r\n", 16) + "Content-Length: 1024\r\n\r\n" + strings.Repeat("b", 1024)
	read := bufio.NewReader(caller)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(caller, request); err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(read, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// answerAll answers each request on each connection.
func answerAll(l net.Listener) {
	answer := "HTTP/1.1 200 OK\r\nReq-Id: r-1\r\nStamp: s\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("a", 1024)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			read := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(read)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}
		}()
	}
}
