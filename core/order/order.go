// Package order manages the tokens that make an order run at most once. A token
// is redeemed only at the host that issued it, so that a single table decides.
//
// # Guarantees to callers
//
// An order that arrives without a token never runs: it is rejected as not_run,
// and the answer contains a new token. A caller that repeats an order without a
// token therefore gets one rejection and one new token for each repeat, and
// causes no execution. Each token starts at most one order. An order that is
// repeated with another token counts as another order, which may run as well:
// orders are not compared across tokens. Only after not_run may a caller use a
// new token; after unknown it must repeat the order with the same token, at any
// host.
//
// # Bounds
//
// The table holds at most Options.Max tokens and issues none beyond that, and results of at
// most Options.ResultBytes. An order with an expired token never starts. A running order is never dropped; its
// result is kept for one more lifetime after it ends. Expiry is judged by
// whichever of the monotonic and the wall clock has advanced further, since the
// monotonic clock stops while a machine is suspended.
//
// # Shutdown
//
// A host that shuts down waits for its running orders. It also waits for each
// unused token until the largest deadline in the active configuration sections of
// callers has passed since the token was issued. A caller that uses a token later
// may get unknown.
//
// # Usage
//
//	t := order.New("host-1", 7, order.Options{Max: 10_000, Lifetime: time.Minute}, rand.Reader)
//	token, ok := t.Issue(now)
//	if !ok {
//		// no token can be issued now
//	}
//	d := t.Redeem(now, token, order.Fingerprint(o))
//	if d.Verdict == order.Run {
//		t.Finish(now, token, result)
//	}
package order

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
)

// ErrMalformed is returned for a token that no host can have issued.
var ErrMalformed = errors.New("order: token is malformed")

const (
	randomBytes   = 16 // random part of a token
	maxTokenBytes = 256
)

// State is the state of a token.
type State string

// States of a token.
const (
	Issued  State = "issued"
	Running State = "running"
	Done    State = "done"
	Refused State = "refused"
)

// Verdict tells how to handle a request that redeems a token.
type Verdict int

// Verdicts of Table.Redeem.
const (
	Run      Verdict = iota // start the order; only one request per token gets this verdict
	Wait                    // the order is running; wait for its result
	Answer                  // the order has ended with Result
	NoEntry                 // the token is not in the table: it expired or was never issued here
	Mismatch                // the token was used for an order with other content
)

// Decision is the result of redeeming a token.
type Decision struct {
	Verdict Verdict
	Result  core.OrderResult // with Answer
	Ended   <-chan struct{}  // with Wait: closed when the order ends
}

// Options configures a table.
type Options struct {
	Max      int           // maximum number of tokens
	Lifetime time.Duration // of an unused token, from its issue; a result is kept as long after the order ends
	// ResultBytes bounds the results that are kept together; 0 means no bound. An order beyond
	// it keeps its outcome, and a repeated request gets it without the result, with the reason
	// overload.
	ResultBytes int
}

type entry struct {
	state  State
	expiry time.Time
	digest Digest
	result core.OrderResult
	ended  chan struct{}
}

// Table holds the tokens of one host. It is safe for concurrent use. It has one
// lock and calls no code that locks anything else while it holds it.
type Table struct {
	host        core.HostID
	incarnation core.Incarnation
	opts        Options
	random      io.Reader

	mu      sync.Mutex
	entries map[string]*entry
	kept    int       // bytes of the results of entries
	sweepAt time.Time // no token expires earlier, so a sweep before this time is skipped
}

// New returns an empty table. Tokens can't be guessed if random is a secure source.
func New(host core.HostID, inc core.Incarnation, opts Options, random io.Reader) *Table {
	return &Table{host: host, incarnation: inc, opts: opts, random: random, entries: make(map[string]*entry)}
}

// Issue returns a new token. It returns false if the table is full or the random
// source fails.
func (t *Table) Issue(now time.Time) (string, bool) {
	var raw [randomBytes]byte
	if _, err := io.ReadFull(t.random, raw[:]); err != nil {
		return "", false
	}
	token := strings.Join([]string{
		string(t.host),
		strconv.FormatUint(uint64(t.incarnation), 16),
		hex.EncodeToString(raw[:]),
	}, "~")
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.opts.Max {
		t.expire(now)
	}
	if len(t.entries) >= t.opts.Max {
		return "", false
	}
	e := &entry{
		state:  Issued,
		expiry: now.Add(t.opts.Lifetime),
		ended:  make(chan struct{}),
	}
	t.entries[token] = e
	t.scheduleSweep(e)
	return token, true
}

// Redeem decides how to handle a request with this token and this digest of its
// order. The verdict Run marks the order as running.
func (t *Table) Redeem(now time.Time, token string, digest Digest) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[token]
	if !ok {
		return Decision{Verdict: NoEntry}
	}
	if e.expired(now) {
		t.remove(token, e)
		return Decision{Verdict: NoEntry}
	}
	if e.state != Issued && e.digest != digest {
		return Decision{Verdict: Mismatch}
	}
	switch e.state {
	case Issued:
		e.state = Running
		e.digest = digest
		return Decision{Verdict: Run}
	case Running:
		return Decision{Verdict: Wait, Ended: e.ended}
	default:
		return Decision{Verdict: Answer, Result: e.result}
	}
}

// Finish records the result of a running order and wakes the requests that wait
// for it.
func (t *Table) Finish(now time.Time, token string, r core.OrderResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[token]
	if !ok || e.state != Running {
		return
	}
	e.state = Done
	if r.Outcome == core.NotRun {
		e.state = Refused
	}
	if t.opts.ResultBytes > 0 && t.kept+len(r.Body) > t.opts.ResultBytes {
		r.Body, r.Reason = nil, core.ReasonOverload
	}
	t.kept += len(r.Body)
	e.result = r
	e.expiry = now.Add(t.opts.Lifetime)
	t.scheduleSweep(e)
	close(e.ended)
}

// Unfinished returns the number of unused tokens that were issued within the last
// hold time, and the number of running orders. ended is closed when one of the
// running orders, chosen arbitrarily, ends; it is nil if none is running.
func (t *Table) Unfinished(now time.Time, hold time.Duration) (issued, running int, ended <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch {
		case e.state == Running:
			running++
			ended = e.ended
		case e.state == Issued && pause.Remaining(now, e.expiry) > max(0, t.opts.Lifetime-hold):
			issued++
		}
	}
	return issued, running, ended
}

// Expire removes expired tokens. The token of a running order is never removed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	if pause.Remaining(now, t.sweepAt) > 0 {
		return
	}
	t.sweepAt = time.Time{}
	for token, e := range t.entries {
		if e.expired(now) {
			t.remove(token, e)
		} else if e.state != Running {
			t.scheduleSweep(e)
		}
	}
}

func (t *Table) remove(token string, e *entry) {
	delete(t.entries, token)
	t.kept -= len(e.result.Body)
}

// scheduleSweep sets the time of the next sweep to the expiry of an entry if that
// is earlier.
func (t *Table) scheduleSweep(e *entry) {
	if t.sweepAt.IsZero() || e.expiry.Before(t.sweepAt) {
		t.sweepAt = e.expiry
	}
}

func (e *entry) expired(now time.Time) bool {
	return e.state != Running && pause.Remaining(now, e.expiry) <= 0
}

// Counts returns the number of tokens in each state.
func (t *Table) Counts() map[State]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[State]int)
	for _, e := range t.entries {
		counts[e.state]++
	}
	return counts
}

// Issuer returns the host and the incarnation that issued a token.
func Issuer(token string) (core.HostID, core.Incarnation, error) {
	parts := strings.Split(token, "~")
	if len(token) > maxTokenBytes || len(parts) != 3 || parts[0] == "" || len(parts[2]) != 2*randomBytes {
		return "", 0, ErrMalformed
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return "", 0, ErrMalformed
	}
	return core.HostID(parts[0]), core.Incarnation(inc), nil
}

// Digest is a hash of an order's content.
type Digest [sha256.Size]byte

// Fingerprint returns the digest of an order's content, so that a token can't be
// used for a second order. It uses a cryptographic hash, since a collision would
// give a caller the result of another order.
func Fingerprint(o core.Order) Digest {
	d := sha256.New()
	for _, field := range [][]byte{[]byte(o.Caller), []byte(o.Service), []byte(o.Key), o.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:])
		_, _ = d.Write(field)
	}
	return Digest(d.Sum(nil))
}
