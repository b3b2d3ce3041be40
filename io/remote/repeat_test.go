package remote_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// repeatingServer answers each request on a connection after it has sent its answer to the
// previous request there a second time.
type repeatingServer struct {
	answers []string // status and body by request, both quoted
	arrived atomic.Int32
	open    atomic.Int32
}

func (s *repeatingServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.open.Add(1)
	go func() {
		defer s.open.Add(-1)
		defer func() { _ = server.Close() }()
		in, last := bufio.NewReader(server), ""
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			n := s.arrived.Add(1) - 1
			_, _ = io.WriteString(server, last)
			last = echoCallID(s.response(s.answers[n]), req)
			_, _ = io.WriteString(server, last)
		}
	}()
	return client, nil
}

func (s *repeatingServer) response(answer string) string {
	var status, body string
	_, _ = fmt.Sscanf(answer, "%q %q", &status, &body)
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, remote.ChecksumHeader, remote.Checksum([]byte(body)), len(body), body)
}

// echoCallID adds the id of the call to a raw response, as a backend server does.
func echoCallID(response string, req *http.Request) string {
	status, rest, _ := strings.Cut(response, "\r\n")
	return fmt.Sprintf("%s\r\n%s: %s\r\n%s", status, remote.CallIDHeader, req.Header.Get(remote.CallIDHeader), rest)
}

// TestRepeatedAnswers guards against a second copy of an answer that is taken for the answer
// to the next call on the connection: an order that runs would count as not run, and a query
// would get the rows of another one.
func TestRepeatedAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		call    func(context.Context, *remote.Client) ([]byte, error)
	}{
		{
			name:    "order after a refusal",
			answers: []string{`"503 Busy" "{\"refused\":\"busy\",\"ran\":false}"`, `"200 OK" "{\"order_id\":\"h1~7~00\",\"result\":1}"`},
			call: func(ctx context.Context, client *remote.Client) ([]byte, error) {
				return client.Order(ctx, "b", testOrder())
			},
		},
		{
			name:    "order after an order",
			answers: []string{`"200 OK" "{\"order_id\":\"h1~7~00\",\"result\":2}"`, `"200 OK" "{\"order_id\":\"h1~7~00\",\"result\":1}"`},
			call: func(ctx context.Context, client *remote.Client) ([]byte, error) {
				return client.Order(ctx, "b", testOrder())
			},
		},
		{
			name:    "read after a read",
			answers: []string{`"200 OK" "{\"snapshot\":41,\"shard\":3,\"rows\":[2]}"`, `"200 OK" "{\"snapshot\":41,\"shard\":3,\"rows\":[1]}"`},
			call: func(ctx context.Context, client *remote.Client) ([]byte, error) {
				return client.Read(ctx, "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &repeatingServer{answers: c.answers}
				client := remote.New(remote.Options{Connections: 1, Dial: s.dial})
				_, _ = c.call(t.Context(), client)
				synctest.Wait()
				got, err := c.call(t.Context(), client)
				var call *core.CallError
				switch {
				case err == nil && string(got) != "1":
					if string(got) != "[1]" {
						t.Errorf("got %s, want the result of the second call or an error", got)
					}
				case err != nil && (!errors.As(err, &call) || call.NotRun):
					t.Errorf("error %v says that the call did not run, but the server ran it", err)
				}
				synctest.Wait()
				if n := s.open.Load(); n != 0 {
					t.Errorf("%d connections are open, want none: their next answer would be an old one", n)
				}
				client.Close()
				synctest.Wait()
				if n := s.arrived.Load(); n != 2 {
					t.Errorf("%d calls arrived, want 2", n)
				}
			})
		})
	}
}
