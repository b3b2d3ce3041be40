package conns

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core/quota"
)

const (
	// progressBytes of a body, or its end, must arrive within progressTime. Pauses of a
	// caller's machine are shorter.
	progressBytes = 2 << 10
	progressTime  = 3 * time.Second
	// progressStep is how long after the last deadline the next one may be set, so that few
	// timers are changed while a body arrives quickly.
	progressStep = 500 * time.Millisecond
)

// ReadBody reads the body of a request, which may have at most limit bytes and must arrive
// within timeout. If the client meets a limit, ReadBody returns the reason, which it has
// counted; the request has not run. In that case, and after an error, the read deadline stays
// set, since the server still reads the rest of the body.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int, timeout time.Duration) (body []byte, reason Reason, err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, "", nil
	}
	conn := FromContext(r.Context())
	if r.ContentLength > int64(limit) {
		conn.refused(BodyTooLarge)
		return nil, BodyTooLarge, nil
	}
	conn.setState(quota.Receiving)
	p := newProgress(w, timeout)
	body, reason, err = readBody(r, conn, limit, p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = SlowBody
	}
	if reason != "" {
		conn.refused(reason)
		return nil, reason, nil
	}
	if err != nil {
		return nil, "", errors.Wrap(err, "conns: read body")
	}
	r.Trailer = nil // not needed; it may be large
	p.stop()
	conn.setState(quota.Running)
	return body, "", nil
}

// readBody reads a body into a buffer that grows as the body arrives, since a caller may
// announce a length that it never sends. It charges the buffer before it allocates it.
func readBody(r *http.Request, conn *Conn, limit int, p *progress) (body []byte, reason Reason, err error) {
	most := limit + 1
	if r.ContentLength >= 0 {
		most = int(r.ContentLength)
	}
	charged := 0
	defer func() { conn.setBodyCharged(charged) }()
	body = make([]byte, 0, min(most, FreeBytes))
	for {
		if len(body) == cap(body) {
			if len(body) > limit {
				return nil, BodyTooLarge, nil
			}
			size := max(min(most, 2*cap(body)), len(body)+1)
			if !conn.chargeWaiting(size) {
				return nil, NoMemory, nil
			}
			body = append(make([]byte, 0, size), body...)
			conn.refund(charged)
			charged = size
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if len(body) > limit {
				return nil, BodyTooLarge, nil
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

func newProgress(w http.ResponseWriter, timeout time.Duration) *progress {
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
