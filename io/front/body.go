package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/relay"
)

const (
	// bodyTimeout bounds the reading of a body. The caller's remaining time replaces it
	// if that is shorter, since the caller no longer waits afterwards.
	bodyTimeout = 10 * time.Second
	// progressBytes of a body, or its end, must arrive within progressTime. Pauses of a
	// caller's machine are shorter.
	progressBytes = 2 << 10
	progressTime  = 3 * time.Second
	// progressStep is how long after the last deadline the next one may be set, so that few
	// timers are changed while a body arrives quickly.
	progressStep = 500 * time.Millisecond
)

// body reads the body of a request, or returns a reply that rejects it. If it rejects the
// body, the read deadline stays set, since the server still reads the rest of it.
func (f *Front) body(w http.ResponseWriter, r *http.Request, conn *conns.Conn, remaining time.Duration) (body []byte, rejection *relay.Reply) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := f.deps.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return nil, reject(conn, conns.BodyTooLarge)
	}
	conn.Receiving()
	p := newProgress(w, remaining)
	body, reason, err := readBody(r, conn, limit, p)
	switch {
	case reason != "":
		return nil, reject(conn, reason)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, reject(conn, conns.SlowBody)
	case err != nil:
		return nil, &relay.Reply{Status: http.StatusBadRequest, Reason: core.ReasonUnreadable}
	}
	r.Trailer = nil // its fields are not forwarded
	p.stop()
	return body, nil
}

// reject returns the reply to a request whose client has met a limit. The request has not run.
func reject(conn *conns.Conn, reason conns.Reason) *relay.Reply {
	conn.Refused(reason)
	switch reason {
	case conns.BodyTooLarge:
		return &relay.Reply{Status: http.StatusRequestEntityTooLarge, Reason: core.ReasonTooLarge}
	case conns.SlowBody:
		return &relay.Reply{Status: http.StatusRequestTimeout, Reason: core.ReasonUnreadable}
	default:
		return &relay.Reply{Status: http.StatusServiceUnavailable, Reason: core.ReasonOverload, RetryAfter: retryRefused}
	}
}

// readBody reads a body into a buffer that grows as the body arrives, since a caller may
// announce a length that it never sends. It charges the buffer before it allocates it.
func readBody(r *http.Request, conn *conns.Conn, limit int, p *progress) (body []byte, reason conns.Reason, err error) {
	most := limit + 1
	if r.ContentLength >= 0 {
		most = int(r.ContentLength)
	}
	charged := 0
	body = make([]byte, 0, min(most, conns.FreeBytes))
	for {
		if len(body) == cap(body) {
			if len(body) > limit {
				return nil, conns.BodyTooLarge, nil
			}
			size := max(min(most, 2*cap(body)), len(body)+1)
			if !conn.Charge(size) {
				return nil, conns.NoMemory, nil
			}
			body = append(make([]byte, 0, size), body...)
			conn.Refund(charged)
			charged = size
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if len(body) > limit {
				return nil, conns.BodyTooLarge, nil
			}
			return body, "", nil
		case err != nil:
			return nil, "", err
		}
		p.add(n)
	}
}

// progress moves the read deadline of a connection while a body makes progress.
type progress struct {
	control *http.ResponseController
	end     time.Time // of the time for the whole body
	set     time.Time // when the deadline was set last
	bytes   int       // received since then
}

func newProgress(w http.ResponseWriter, remaining time.Duration) *progress {
	timeout := bodyTimeout
	if remaining > 0 {
		timeout = min(timeout, remaining)
	}
	now := time.Now()
	p := &progress{control: http.NewResponseController(w), end: now.Add(timeout)}
	p.restart(now)
	return p
}

// restart begins another period in which the body must make progress.
func (p *progress) restart(now time.Time) {
	deadline := now.Add(progressTime)
	if deadline.After(p.end) {
		deadline = p.end
	}
	p.set, p.bytes = now, 0
	// Setting a deadline fails only for the response recorders of tests.
	_ = p.control.SetReadDeadline(deadline)
}

// add records that bytes have arrived.
func (p *progress) add(n int) {
	p.bytes += n
	if p.bytes < progressBytes {
		return
	}
	if now := time.Now(); now.Sub(p.set) >= progressStep {
		p.restart(now)
	}
}

func (p *progress) stop() { _ = p.control.SetReadDeadline(time.Time{}) }
