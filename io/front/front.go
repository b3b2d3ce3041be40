// Package front is the HTTP server for callers whose requests are forwarded to
// replicas unchanged. It reads a request, passes it to the relay, and writes the
// response.
//
// # Usage
//
//	f := front.New(front.Deps{Relay: r, Names: names, Limits: limits})
//	server := f.Server()
//	err := f.Serve(server, listener)
//	err = f.Shutdown(ctx, server, listener)
package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/quota"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/relay"
)

const (
	// defaultBodyBytes bounds a body while the routing document states no limit.
	defaultBodyBytes = 1 << 20
	// maxHeaderBytes and headerTimeout bound the reading of a head while the routing document
	// states no limits, or larger ones.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// bodyTimeout bounds the reading of a body. The caller's remaining time replaces it
	// if that is shorter, since the caller no longer waits afterwards.
	bodyTimeout = 10 * time.Second
	// maxAgentBytes bounds the part of the User-Agent field in the key of a caller.
	maxAgentBytes = 64
	// headerSlack is how far a head may exceed the limit of the routing document, which does
	// not say whether the request line and the line ends count.
	headerSlack = 4 << 10
	// retryRefused is the Retry-After of a request for which there is no memory.
	retryRefused = 500 * time.Millisecond
)

// Deps are the dependencies of a Front.
type Deps struct {
	Relay  *relay.Relay
	Names  core.HeaderNames
	Limits func() core.CallerLimits // limits of the routing document
	// Connections bounds the callers' connections, and Budget the bytes that a host holds for
	// them. 0 and nil mean no limit.
	Connections int
	Budget      *quota.Budget
	Refusals    *conns.Refusals // may be nil
}

// Front serves the requests of callers.
type Front struct {
	deps    Deps
	conns   *conns.Set
	closing atomic.Bool // each response closes its connection
}

var _ http.Handler = (*Front)(nil)

// New returns a Front.
func New(d Deps) *Front {
	f := &Front{deps: d}
	f.conns = conns.NewLimited(conns.Options{
		Listener: "callers", Connections: d.Connections, Budget: d.Budget, Head: f.headLimits, Refusals: d.Refusals,
	})
	return f
}

// headLimits returns the limits on heads: those of the routing document, or the server's own
// if they are lower.
func (f *Front) headLimits() conns.HeadLimits {
	l := f.deps.Limits()
	h := conns.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}
	if l.HeaderBytes > 0 {
		h.Bytes = min(h.Bytes, l.HeaderBytes+headerSlack)
	}
	if l.HeaderTimeout > 0 {
		h.Timeout = min(h.Timeout, l.HeaderTimeout)
	}
	return h
}

// Server returns an HTTP server whose handler is f.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f,
		ConnContext: func(ctx context.Context, raw net.Conn) context.Context {
			return conns.NewContext(context.WithValue(ctx, usedKey{}, new(atomic.Bool)), raw)
		},
		ConnState:         f.conns.ConnState,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves connections of a listener with a server that Server returned, until
// Shutdown or the server's Close is called.
func (f *Front) Serve(s *http.Server, l net.Listener) error { return f.conns.Serve(s, l) }

// Shutdown stops accepting connections and waits for running requests.
func (f *Front) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	return f.conns.Shutdown(ctx, s, l)
}

// CloseIdle closes the callers' connections that have carried no request for longer than
// the routing document allows, and those whose head or reader is too slow.
func (f *Front) CloseIdle(now time.Time) { f.conns.CloseIdle(now, f.deps.Limits().IdleTimeout) }

// usedKey is the context key of the flag that is set once a connection has carried a
// request.
type usedKey struct{}

// firstOnConn reports whether a request is the first one on its connection, and marks the
// connection as used. The caller of a first request also waited for the connection to be
// opened.
func firstOnConn(ctx context.Context) bool {
	used, ok := ctx.Value(usedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// DisableKeepAlive makes each further response close its connection.
func (f *Front) DisableKeepAlive() { f.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	req := relay.Request{
		ID:          core.RequestID(r.Header.Get(f.deps.Names.RequestID)),
		Method:      r.Method,
		URI:         uri(r),
		Path:        r.URL.EscapedPath(),
		Host:        r.Host,
		Remaining:   f.remaining(r.Header),
		Arrived:     arrived,
		FirstOnConn: firstOnConn(r.Context()),
		Caller:      caller(r),
	}
	body, rejection := f.body(w, r, req)
	if rejection != nil {
		f.write(w, r, *rejection)
		return
	}
	req.Body = body
	reply := f.forward(r, req)
	if !conns.FromContext(r.Context()).ChargeAnswer(len(reply.Body)) {
		reply = relay.Reply{Status: http.StatusBadGateway, Reason: core.ReasonOverload}
	}
	f.write(w, r, reply)
}

// forward passes a request to the relay. The lease ends before the answer is written, which
// needs neither the header nor the body of the request.
func (f *Front) forward(r *http.Request, req relay.Request) relay.Reply {
	lease := conns.TakeLease(r.Context())
	defer lease.Release()
	if !lease.Charge(fieldBytes(r.Header)) {
		return f.deps.Relay.Reject(req, relay.Reply{Status: http.StatusServiceUnavailable, Reason: core.ReasonOverload, RetryAfter: retryRefused})
	}
	req.Header = f.header(r.Header)
	return f.deps.Relay.Do(core.WithLease(r.Context(), lease), req)
}

// caller returns a key that tells callers apart: the address of the connection without the
// port, and the program that it names.
func caller(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	agent := r.UserAgent()
	return host + " " + agent[:min(len(agent), maxAgentBytes)]
}

// uri returns the path and the query of a request.
func uri(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// body reads the body of a request, or returns a reply that rejects the request, which has
// not run.
func (f *Front) body(w http.ResponseWriter, r *http.Request, req relay.Request) (body []byte, rejection *relay.Reply) {
	limit, timeout := f.deps.Limits().BodyBytes, bodyTimeout
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if req.Remaining > 0 {
		timeout = min(timeout, req.Remaining)
	}
	body, reason, err := conns.ReadBody(w, r, limit, timeout)
	switch {
	case err != nil:
		reply := f.deps.Relay.Reject(req, relay.Reply{Status: http.StatusBadRequest, Reason: core.ReasonUnreadable})
		return nil, &reply
	case reason == conns.BodyTooLarge:
		return nil, &relay.Reply{Status: http.StatusRequestEntityTooLarge, Reason: core.ReasonTooLarge}
	case reason == conns.SlowBody:
		return nil, &relay.Reply{Status: http.StatusRequestTimeout, Reason: core.ReasonUnreadable}
	case reason != "":
		return nil, &relay.Reply{Status: http.StatusServiceUnavailable, Reason: core.ReasonOverload, RetryAfter: retryRefused}
	}
	return body, nil
}

// remaining returns the remaining time that the caller states, or 0 if it states none or
// an invalid one.
func (f *Front) remaining(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(f.deps.Names.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// fieldBytes returns the size of all header fields as they are sent.
func fieldBytes(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// header returns the header fields that are forwarded to a replica: all but the
// hop-by-hop fields and those that the client sets itself.
func (f *Front) header(h http.Header) core.Header {
	n := &f.deps.Names
	options := connectionOptions(h)
	out := make(core.Header, 0, fieldBytes(h))
	for name, values := range h {
		switch {
		case hopByHop(name), strings.EqualFold(name, "Content-Length"),
			strings.EqualFold(name, n.RequestID), strings.EqualFold(name, n.Deadline), strings.EqualFold(name, n.Expect),
			options[name]:
			continue
		}
		for _, v := range values {
			out = out.Append(name, v)
		}
	}
	return out
}

// hopByHop reports whether a field applies to a single connection and must not be
// forwarded.
func hopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// connectionOptions returns the names of the fields that the comma-separated lists of the
// Connection fields contain. The lists are read only once, since a head may have thousands of
// names in them and thousands of fields.
func connectionOptions(h http.Header) map[string]bool {
	options := make(map[string]bool)
	for _, list := range h["Connection"] {
		for part := range strings.SplitSeq(list, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(part))
			if _, ok := h[name]; ok {
				options[name] = true
			}
		}
	}
	return options
}

// status returns the status of a final response that a caller can understand. No other one is
// expected from the relay.
func status(s int) int {
	const lowest, highest = 200, 599
	if s < lowest || s > highest {
		return http.StatusBadGateway
	}
	return s
}

// write sends a reply to the caller.
func (f *Front) write(w http.ResponseWriter, r *http.Request, reply relay.Reply) {
	n := &f.deps.Names
	h := w.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
	for _, field := range reply.Fields {
		if hopByHop(field.Name) || strings.EqualFold(field.Name, "Content-Length") || strings.EqualFold(field.Name, n.Load) {
			continue
		}
		key := http.CanonicalHeaderKey(field.Name)
		h[key] = append(h[key], field.Value)
	}
	if reply.Gathered {
		h.Set(n.Parts, strings.Join(reply.Stamps, ", "))
		h.Set(n.Missing, strconv.Itoa(reply.Missing))
	}
	if reply.RetryAfter > 0 {
		h.Set(n.RetryAfter, strconv.FormatFloat(reply.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status(reply.Status))
	if r.Method != http.MethodHead {
		// The write fails if the caller has closed the connection and needs no response.
		_, _ = w.Write(reply.Body)
	}
}
