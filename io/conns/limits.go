package conns

import (
	"log/slog"
	"net/http"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/quota"
	"oriolebarrow/io/telem"
)

const (
	// BaseBytes is charged for each connection: the buffers and stacks of its goroutines,
	// freeHeadCost and FreeBytes.
	BaseBytes = 32 << 10
	// FreeBytes is the size up to which bodies and answers are not charged.
	FreeBytes = 4 << 10
	// freeHeadCost is the cost up to which a head is not charged: about 30 lines.
	freeHeadCost = 12 << 10
	// lineCost is what a header line costs beyond its bytes: its place in net/http's map,
	// the slice of its values, and its place in the list of forwarded fields.
	lineCost = 256
	// headStep is the smallest amount that is charged for a head.
	headStep = 4 << 10

	// chargeWait is how long a charge waits until others have given way.
	chargeWait = 500 * time.Millisecond
	// answerWait is the same for an answer, which is in memory already. At most
	// maxAnswerWaits answers wait.
	answerWait     = 100 * time.Millisecond
	maxAnswerWaits = 2

	// writeChunk is how much of an answer must be taken within writeTimeout.
	writeChunk   = 32 << 10
	writeTimeout = 5 * time.Second

	// lingerTime and lingerBytes bound how long and how much is still read after a refusal.
	// Without it, the client would get a reset instead of the refusal.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10

	// maxClosing bounds the connections that were closed for new ones and have not ended yet.
	maxClosing  = 32
	closingWait = 20 * time.Millisecond

	// newcomerWait is how long a new connection waits for one that is answered. Meanwhile, the
	// system queues further ones.
	newcomerWait = 250 * time.Millisecond
	// newcomerTime is how long a connection without progress is not closed for a new one. A
	// caller in the same region needs a few milliseconds to send its request.
	newcomerTime = 20 * time.Millisecond

	// unusedWeight multiplies the idle time of a connection that has never carried a request
	// when one is closed for a new one.
	unusedWeight = 4

	// watchInterval is the time between two searches for slow connections.
	watchInterval = time.Second
)

// Reason says which limit a client has met.
type Reason string

// Reasons.
const (
	HeadTooLarge Reason = "head_too_large" // status 431
	SlowHead     Reason = "slow_head"      // closed
	BodyTooLarge Reason = "body_too_large" // status 413
	SlowBody     Reason = "slow_body"      // status 408
	SlowReader   Reason = "slow_reader"    // closed
	NoMemory     Reason = "memory"         // status 503, or 502 for an answer that can't be held
	Displaced    Reason = "displaced"      // closed, for a holder of fewer bytes or a new connection
	NoConnection Reason = "connections"    // closed at once: all connections carry running requests
)

var reasons = []Reason{HeadTooLarge, SlowHead, BodyTooLarge, SlowBody, SlowReader, NoMemory, Displaced, NoConnection}

// Refusals counts the clients that met a limit and logs them, at most one line a second for
// each reason. A nil *Refusals does nothing.
type Refusals struct {
	meter    core.Meter
	log      *slog.Logger
	limiters map[Reason]*telem.LineLimiter
}

// NewRefusals returns a Refusals. The meter may be nil.
func NewRefusals(m core.Meter, log *slog.Logger) *Refusals {
	r := &Refusals{meter: core.MeterOr(m), log: log, limiters: make(map[Reason]*telem.LineLimiter)}
	for _, reason := range reasons {
		r.limiters[reason] = telem.NewLineLimiter(1)
	}
	return r
}

// Add records a client that met a limit.
func (r *Refusals) Add(listener string, reason Reason) {
	if r == nil {
		return
	}
	r.meter.Count("clients_limited_"+string(reason), 1)
	if skipped, ok := r.limiters[reason].Allow(time.Now()); ok {
		r.log.Warn("caller: client met a limit", "listener", listener, "reason", string(reason), "left_out", skipped)
	}
}

// HeadLimits bound the heads of requests.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration // from the first byte to the end
}

// Options are the limits of a Set.
type Options struct {
	Listener    string            // name of the listener in the log
	Connections int               // 0: no limit
	Budget      *quota.Budget     // nil: no limit
	Head        func() HeadLimits // nil, or a limit of 0: no limit
	Refusals    *Refusals         // may be nil
}

// headCount counts the head of a request while it arrives.
type headCount struct {
	bytes, lines int
	line         int  // bytes of the current line without a carriage return at its beginning
	text         bool // a line that is not empty has begun
	ended        bool // the empty line that ends the head has been read
}

// add counts received bytes up to the end of the head. Empty lines before the first line
// don't end it, since net/http skips some of them.
func (h *headCount) add(b []byte) {
	for _, ch := range b {
		h.bytes++
		switch {
		case ch != '\n':
			if ch != '\r' || h.line > 0 {
				h.line++
				h.text = true
			}
			continue
		case h.line == 0 && h.text:
			h.ended = true
			return
		}
		h.lines++
		h.line = 0
	}
}

// cost returns the memory that the head takes.
func (h *headCount) cost() int64 { return int64(h.bytes) + lineCost*int64(h.lines) }

// refusal returns the text of a response without a body that closes its connection.
func refusal(status int) string {
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		return "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	default:
		return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	}
}
