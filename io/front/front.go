// Package front is the HTTP interface for callers whose requests are passed on
// to replicas unchanged. It reads a request, hands it to the relay, and writes
// the answer.
//
// # Usage
//
//	f := front.New(front.Parts{Relay: r, Names: names})
//	server := f.Server()
//	err := f.Serve(server, listener)
//	err = f.Shutdown(ctx, server, listener)
package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/relay"
)

const (
	// defaultBodyBytes and defaultHeaderBytes hold until a routing document
	// states its limits.
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 64 << 10
	// headerTimeout bounds the reading of a head when the document states
	// nothing.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a body, or the time that the caller waits if that
	// is shorter: later nobody can be served.
	bodyTimeout = 10 * time.Second
)

// Parts are what a front works with.
type Parts struct {
	Relay  *relay.Relay
	Names  core.HeaderNames
	Limits func() core.CallerLimits
}

// Front serves callers.
type Front struct {
	parts   Parts
	conns   *conns.Set
	leaving atomic.Bool
}

var _ http.Handler = (*Front)(nil)

// New returns a front.
func New(p Parts) *Front { return &Front{parts: p, conns: conns.New()} }

// Server returns a server for the front.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, usedKey{}, new(atomic.Bool))
		},
		ConnState:         f.conns.Note,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
}

// Serve serves a listener with a server of this front until its shutdown.
func (f *Front) Serve(s *http.Server, l net.Listener) error { return f.conns.Serve(s, l) }

// Shutdown stops accepting connections and waits for the requests that run.
func (f *Front) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	return f.conns.Shutdown(ctx, s, l)
}

// CloseIdle closes the callers' connections that carried no request for longer than
// the document's limits allow.
func (f *Front) CloseIdle(now time.Time) {
	if limit := f.parts.Limits().IdleTimeout; limit > 0 {
		f.conns.CloseIdle(now, limit)
	}
}

// usedKey is the context key of a mark that a connection carried a request.
type usedKey struct{}

// first reports whether a request is the first one on its connection, so that
// its caller also waited for the connection.
func first(ctx context.Context) bool {
	used, ok := ctx.Value(usedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// Leave makes each further answer the last one on its connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	req := relay.Request{
		ID:      core.RequestID(r.Header.Get(f.parts.Names.RequestID)),
		Method:  r.Method,
		URI:     uri(r),
		Path:    r.URL.EscapedPath(),
		Host:    r.Host,
		Fields:  f.fields(r.Header),
		Left:    f.left(r.Header),
		Arrived: arrived,
		First:   first(r.Context()),
	}
	body, fault := f.body(w, r, req.Left)
	if fault != nil {
		f.write(w, r, f.parts.Relay.Reject(req, *fault))
		return
	}
	req.Body = body
	f.write(w, r, f.parts.Relay.Do(r.Context(), req))
}

func uri(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// body reads a request's body, or returns the answer to one that cannot be taken.
func (f *Front) body(w http.ResponseWriter, r *http.Request, left time.Duration) (body []byte, fault *relay.Reply) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := f.parts.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	within := bodyTimeout
	if left > 0 {
		within = min(within, left)
	}
	// Connections of tests cannot have a deadline; all others can.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(within))
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	// After a fault the deadline stays: the server reads what is left of the body.
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &relay.Reply{Status: http.StatusRequestTimeout, Reason: core.ReasonUnreadable}
	case err != nil:
		return nil, &relay.Reply{Status: http.StatusBadRequest, Reason: core.ReasonUnreadable}
	case len(body) > limit:
		return nil, &relay.Reply{Status: http.StatusRequestEntityTooLarge, Reason: core.ReasonTooLarge}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (f *Front) left(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(f.parts.Names.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// fields returns the header fields that are passed on.
func (f *Front) fields(h http.Header) []core.Field {
	n := &f.parts.Names
	fields := make([]core.Field, 0, len(h))
	for name, values := range h {
		switch {
		case ofConnection(name), strings.EqualFold(name, "Content-Length"),
			strings.EqualFold(name, n.RequestID), strings.EqualFold(name, n.Deadline), strings.EqualFold(name, n.Expect),
			named(h["Connection"], name):
			continue
		}
		for _, v := range values {
			fields = append(fields, core.Field{Name: name, Value: v})
		}
	}
	return fields
}

// ofConnection reports whether a field concerns one connection only.
func ofConnection(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// named reports whether a Connection field lists another field.
func named(lists []string, name string) bool {
	for _, list := range lists {
		for part := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

func (f *Front) write(w http.ResponseWriter, r *http.Request, reply relay.Reply) {
	n := &f.parts.Names
	h := w.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
	for _, field := range reply.Fields {
		if ofConnection(field.Name) || strings.EqualFold(field.Name, "Content-Length") || strings.EqualFold(field.Name, n.Load) {
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
	if f.leaving.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(reply.Status)
	if r.Method != http.MethodHead {
		// A caller that left gets nothing; its connection says so.
		_, _ = w.Write(reply.Body)
	}
}
