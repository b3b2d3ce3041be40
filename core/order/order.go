// Package order keeps the tokens that make an order run at most once. A token
// is redeemed only at the host that issued it, so that one table decides.
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
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"oriolebarrow/core"
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
	print   uint64
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
	t.entries[token] = &entry{
		state:   Issued,
		expiry:  now.Add(t.opts.Lifetime),
		changed: make(chan struct{}),
	}
	return token, true
}

// Redeem decides what a request with this token and order may do.
func (t *Table) Redeem(now time.Time, token string, print uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[token]
	if !ok {
		return Decision{Verdict: NoEntry}
	}
	if e.state != Running && !e.expiry.After(now) {
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
	close(e.changed)
}

// Expire drops expired tokens. A running order is never dropped.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for token, e := range t.entries {
		if e.state != Running && !e.expiry.After(now) {
			delete(t.entries, token)
		}
	}
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

// Fingerprint identifies the content of an order, so that a token can't be
// used for a second one.
func Fingerprint(o core.Order) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{string(o.Caller), string(o.Service), o.Key, string(o.Body)} {
		_, _ = d.WriteString(strconv.Itoa(len(field)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(field)
	}
	return d.Sum64()
}
