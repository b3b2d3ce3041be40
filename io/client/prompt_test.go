package client_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// slowestWrite is a stand-in for replicas that cut off answers which stay unread. It records the
// longest time from the first byte of an answer until all of it was read or the connection closed.
type slowestWrite struct {
	answer string
	delay  time.Duration // until an answer

	mu      sync.Mutex
	longest time.Duration
	read    int // answers that were read completely
}

func (s *slowestWrite) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe() // has no buffer: a write waits for the reads
	go func() {
		defer func() { _ = serverEnd.Close() }()
		read := bufio.NewReader(serverEnd)
		for {
			if _, err := http.ReadRequest(read); err != nil {
				return
			}
			<-time.After(s.delay)
			begin := time.Now()
			_, err := serverEnd.Write([]byte(s.answer))
			s.mu.Lock()
			s.longest = max(s.longest, time.Since(begin))
			if err == nil {
				s.read++
			}
			s.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return clientEnd, nil
}

// TestAnswersAreReadAtOnce guards against answers that stay unread at a replica, which holds them in
// memory and cuts them off: because nobody waits for the call any more, because its result is not
// taken yet, because the memory limit is reached, or because a body is larger than its limit. Such
// an answer is read, or its connection is closed, without delay.
func TestAnswersAreReadAtOnce(t *testing.T) {
	head := func(length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nReq-Id: r\r\nContent-Length: %d\r\n\r\n", length)
	}
	body := strings.Repeat("x", 60<<10)
	chunk := "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"
	for _, c := range []struct {
		name    string
		answer  string
		abandon time.Duration // when the calls are abandoned; 0 for never
		linger  time.Duration
		whole   bool // whether each answer is read completely
	}{
		{name: "small", answer: head(2) + "ok", whole: true},
		{name: "abandoned, within the linger time", answer: head(1<<10) + body[:1<<10], abandon: time.Millisecond, linger: time.Second, whole: true},
		{name: "abandoned, after the linger time", answer: head(1<<10) + body[:1<<10], abandon: time.Millisecond, linger: time.Millisecond},
		{name: "abandoned at once", answer: head(1<<10) + body[:1<<10], abandon: time.Millisecond},
		{name: "more than the memory limit", answer: head(len(body)) + body},
		{name: "larger than its limit", answer: head(bodyBytes+1) + body},
		{name: "in chunks, larger than its limit", answer: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 40) + "0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowestWrite{answer: c.answer, delay: 10 * time.Millisecond}
				cl := client.New(client.Options{Names: names, Dial: s.dial, BodyBytes: bodyBytes, BufferBytes: bufferBytes})
				defer cl.Close()
				results := make(chan client.Result, replicas) // read at the end only
				var calls []*client.Call
				for i := range replicas {
					calls = append(calls, cl.Send(client.Target{ID: core.InstanceID(fmt.Sprint("i-", i)), Address: "10.0.0.2:80", Connections: 1},
						client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r }))
				}
				if c.abandon > 0 {
					<-time.After(c.abandon)
					for _, call := range calls {
						call.Abandon(c.linger)
					}
				}
				<-time.After(5 * time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.longest > 0 || c.whole && s.read != replicas {
					t.Errorf("an answer was unread for %v; %d of %d were read", s.longest, s.read, replicas)
				}
				for range replicas {
					<-results
				}
			})
		})
	}
}
