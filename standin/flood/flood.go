// Package flood sends responses without end, as a faulty backend server does. It limits what the
// socket holds, so that a client that does not read stops the sender.
//
// # Usage
//
//	head := flood.Head("HTTP/1.1 200 OK\r\n", flood.Options{})
//	sent := head.Send(w)
package flood

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	chunkBytes          = 16 << 10
	defaultMax          = 16 << 20
	defaultWriteTimeout = 30 * time.Second
	// socketBytes is the size of a buffer of a socket.
	socketBytes = 128 << 10
)

// Options limit a response. Zero values are replaced by defaults.
type Options struct {
	Max          int64         // bytes that the client may accept, 16 MiB by default
	Interval     time.Duration // between two chunks of 16 KiB; 0 for none
	WriteTimeout time.Duration // of one chunk, 30 s by default
}

// Response is a response without end.
type Response struct {
	first, next string
	opts        Options
}

// Head returns a response whose head has fields without end.
func Head(first string, o Options) Response {
	return newResponse(first, "X-More: "+strings.Repeat("x", chunkBytes)+"\r\n", o)
}

// Body returns a response whose body has no end. first is its head.
func Body(first string, o Options) Response {
	return newResponse(first, strings.Repeat("x", chunkBytes), o)
}

func newResponse(first, next string, o Options) Response {
	if o.Max <= 0 {
		o.Max = defaultMax
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	return Response{first: first, next: next, opts: o}
}

// Send sends the response until the client closes the connection or has accepted more than
// Options.Max. It returns how many bytes were accepted, by the client or by the sockets on the
// way to it.
func (r Response) Send(w http.ResponseWriter) (sent int64) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return 0 // the client closed the connection
	}
	defer func() { _ = c.Close() }()
	LimitBuffers(c)
	for text := r.first; sent <= r.opts.Max; text = r.next {
		_ = c.SetWriteDeadline(time.Now().Add(r.opts.WriteTimeout)) // if this fails, the write fails too
		n, err := io.WriteString(c, text)
		sent += int64(n)
		if err != nil {
			return sent
		}
		time.Sleep(r.opts.Interval)
	}
	return sent
}

// LimitBuffers limits what the socket of a connection holds, so that a peer that does not read
// stops the sender. The kernel would let a buffer grow by megabytes.
func LimitBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
}
