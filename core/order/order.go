// Package order keeps the tokens that make an order run at most once. A token
// is redeemed only at the host that issued it, so that one table decides.
//
// # Promise to callers
//
// An order that arrives without a token never runs: it is refused as not_run,
// with a fresh token. A caller that repeats an order without a token therefore
// gets one refusal and one new token for each repeat, and causes no execution.
// Each token starts at most one order. A caller that repeats an order under
// another token sends another order, which may run as well; the tier does not
// compare orders across tokens. Only not_run permits a new token: after unknown
// the caller repeats with the same token, at any host.
//
// # Bounds
//
// The table holds at most Options.Max tokens and issues none beyond that. An
// issued token that has expired never starts. A running order is never dropped;
// its answer is kept for one more lifetime after it ends. Expiry follows
// whichever of the monotonic and the wall clock is further ahead, since the
// monotonic clock stands still while a machine is suspended.
//
// # Shutdown
//
// A leaving host stays for its running orders, and for a token that was issued
// and not used until the largest deadline of the caller sections in force has
// passed since its issue. A caller that uses its token later may get unknown.
//
// # Usage
//
//	t := order.New("host-1", 7, order.Options{Max: 10_000, Lifetime: time.Minute}, rand)
//	token, ok := t.Issue(now)
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
	randomBytes   = 16
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

// Verdict tells what to do with a redeemed token.
type Verdict int

// Verdicts on a redeemed token.
const (
	Run     Verdict = iota // the order starts now; only one request gets this
	Wait                   // it is running; wait for the result
	Answer                 // it has ended with Result
	NoEntry                // not in the table: expired, or never issued here
	Differs                // the token belongs to another order
)

// Decision is the verdict on a redeemed token.
type Decision struct {
	Verdict Verdict
	Result  core.OrderResult
	Changed <-chan struct{} // with Wait: closed when the order ends
}

// Options bounds a table.
type Options struct {
	Max      int           // tokens at most
	Lifetime time.Duration // from issue; a done token keeps its answer as long again
}

type entry struct {
	state   State
	expiry  time.Time
	print   Print
	result  core.OrderResult
	changed chan struct{}
}

// Table holds the tokens of one host. It is safe for concurrent use; it has one
// lock and calls nothing while it holds it.
type Table struct {
	host        core.HostID
	incarnation core.Incarnation
	opts        Options
	random      io.Reader

	mu      sync.Mutex
	entries map[string]*entry
	sweepAt time.Time // no token expires before; a full table is searched only then
}

// New returns an empty table. The random source makes tokens unguessable.
func New(host core.HostID, inc core.Incarnation, opts Options, random io.Reader) *Table {
	return &Table{host: host, incarnation: inc, opts: opts, random: random, entries: make(map[string]*entry)}
}

// Issue returns a new token, or false when the table is full.
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
		state:   Issued,
		expiry:  now.Add(t.opts.Lifetime),
		changed: make(chan struct{}),
	}
	t.entries[token] = e
	t.schedule(e)
	return token, true
}

// Redeem decides what a request with this token and order may do.
func (t *Table) Redeem(now time.Time, token string, print Print) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[token]
	if !ok {
		return Decision{Verdict: NoEntry}
	}
	if e.expired(now) {
		delete(t.entries, token)
		return Decision{Verdict: NoEntry}
	}
	if e.state != Issued && e.print != print {
		return Decision{Verdict: Differs}
	}
	switch e.state {
	case Issued:
		e.state = Running
		e.print = print
		return Decision{Verdict: Run}
	case Running:
		return Decision{Verdict: Wait, Changed: e.changed}
	default:
		return Decision{Verdict: Answer, Result: e.result}
	}
}

// Finish records the end of a running order and wakes those that wait for it.
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
	e.result = r
	e.expiry = now.Add(t.opts.Lifetime)
	t.schedule(e)
	close(e.changed)
}

// Unfinished returns how many tokens were issued within the last hold time and
// not used, and how many are running. The channel is closed when one of the
// running orders ends; it is nil when none runs.
func (t *Table) Unfinished(now time.Time, hold time.Duration) (issued, running int, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch {
		case e.state == Running:
			running++
			changed = e.changed
		case e.state == Issued && pause.Left(now, e.expiry) > max(0, t.opts.Lifetime-hold):
			issued++
		}
	}
	return issued, running, changed
}

// Expire drops expired tokens. A running order is never dropped.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	if pause.Left(now, t.sweepAt) > 0 {
		return
	}
	t.sweepAt = time.Time{}
	for token, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, token)
		} else if e.state != Running {
			t.schedule(e)
		}
	}
}

func (t *Table) schedule(e *entry) {
	if t.sweepAt.IsZero() || e.expiry.Before(t.sweepAt) {
		t.sweepAt = e.expiry
	}
}

func (e *entry) expired(now time.Time) bool {
	return e.state != Running && pause.Left(now, e.expiry) <= 0
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

// Print is the fingerprint of an order's content.
type Print [sha256.Size]byte

// Fingerprint identifies the content of an order, so that a token can't be
// used for a second one. A collision would give a caller the answer to another
// order, so a cryptographic hash is used.
func Fingerprint(o core.Order) Print {
	d := sha256.New()
	for _, field := range []string{string(o.Caller), string(o.Service), o.Key, string(o.Body)} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:])
		_, _ = io.WriteString(d, field)
	}
	return Print(d.Sum(nil))
}
