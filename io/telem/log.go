package telem

import (
	"context"
	"io"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// defaultQueue holds about a second of a busy host's decisions.
	defaultQueue = 8192
	// batchBytes bounds what waits for one write; about a hundred lines.
	batchBytes  = 32 << 10
	tokenTail   = 4 // characters of an order token that stay readable
	hidden      = "[hidden]"
	otherPrefix = "other: "
)

// ErrLevel is returned for a log level that does not exist.
var ErrLevel = errors.New("telem: want debug, info, warn or error")

var prefixes = []string{"admin:", "caller:", "config:", "entry:", "gate:", "gossip:", "member:", "mirror:", "node:", "order:", "owner:", "pause:", "peer:", "plat:", "relay:", "remote:", "telem:"}

// Prefixes returns the prefixes of log lines, one for each part of a host.
func Prefixes() []string { return slices.Clone(prefixes) }

// Options configures a Handler.
type Options struct {
	Format  string // "text" or "json"
	Level   slog.Level
	Queue   int // lines that wait at most; 0 for the default
	Metrics *Registry
}

type line struct {
	to     slog.Handler
	record slog.Record
}

// queue is shared by a handler and those derived from it.
type queue struct {
	lines    chan line
	stop     chan struct{}
	stopOnce sync.Once
	ended    chan struct{}
	level    slog.LevelVar
	waiting  atomic.Int64 // lines that were taken and not written yet
	pending  atomic.Int64 // dropped lines that no log line has reported yet
	written  metrics.Counter
	dropped  metrics.Counter
	out      *batch
}

// batch collects the lines that are ready and writes them at once: a system call
// for each line of a burst would cost more than the line. Only the goroutine that
// writes lines uses it.
type batch struct {
	to     io.Writer
	text   []byte
	lines  int64 // that were taken from the queue
	failed metrics.Counter
}

// Write implements io.Writer.
func (b *batch) Write(text []byte) (int, error) {
	b.text = append(b.text, text...)
	return len(text), nil
}

// flush writes what was collected and returns how many lines of the queue that were. A
// log that cannot be written has no place to say so but the metrics.
func (b *batch) flush() (lines int64) {
	if _, err := b.to.Write(b.text); err != nil {
		b.failed.Inc(1)
	}
	lines, b.lines, b.text = b.lines, 0, b.text[:0]
	return lines
}

// Handler is a slog.Handler that never blocks its caller. It hides secrets and
// gives each line the fixed prefix of a part. Attribute values are formatted
// later, on another goroutine, and must not be changed after the call.
type Handler struct {
	queue *queue
	inner slog.Handler
}

var _ slog.Handler = (*Handler)(nil)

// NewHandler returns a handler that writes to w until Close.
func NewHandler(w io.Writer, o Options) *Handler {
	if o.Queue <= 0 {
		o.Queue = defaultQueue
	}
	if o.Metrics == nil {
		o.Metrics = NewRegistry()
	}
	q := &queue{
		lines:   make(chan line, o.Queue),
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
		written: o.Metrics.Counter("log_lines"),
		dropped: o.Metrics.Counter("log_lines_dropped"),
		out:     &batch{to: w, failed: o.Metrics.Counter("log_writes_failed")},
	}
	q.level.Set(o.Level)
	opts := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: clean}
	h := &Handler{queue: q, inner: slog.NewTextHandler(q.out, opts)}
	if o.Format == "json" {
		h.inner = slog.NewJSONHandler(q.out, opts)
	}
	go q.run(h.inner)
	return h
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.queue.level.Level() }

// Handle implements slog.Handler. It never returns an error.
func (h *Handler) Handle(_ context.Context, r slog.Record) error {
	r = r.Clone()
	r.Message = prefixed(r.Message)
	select {
	case <-h.queue.stop:
		h.queue.drop()
		return nil
	default:
	}
	// One line may be on its way out, in the batch that is written or not.
	if h.queue.waiting.Add(1) > int64(cap(h.queue.lines))+1 {
		h.queue.waiting.Add(-1)
		h.queue.drop()
		return nil
	}
	select {
	case h.queue.lines <- line{to: h.inner, record: r}:
	default:
		h.queue.waiting.Add(-1)
		h.queue.drop()
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{queue: h.queue, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{queue: h.queue, inner: h.inner.WithGroup(name)}
}

// Level returns the lowest level that is written.
func (h *Handler) Level() string { return strings.ToLower(h.queue.level.Level().String()) }

// SetLevel changes the lowest level that is written.
func (h *Handler) SetLevel(text string) error {
	l, err := ParseLevel(text)
	if err != nil {
		return err
	}
	h.queue.level.Set(l)
	return nil
}

// ParseLevel reads a level by its name.
func ParseLevel(text string) (slog.Level, error) {
	switch text {
	case "debug":
		return slog.LevelDebug, nil
	case "info":
		return slog.LevelInfo, nil
	case "warn":
		return slog.LevelWarn, nil
	case "error":
		return slog.LevelError, nil
	}
	return 0, errors.Wrapf(ErrLevel, "level %q", text)
}

// Dropped returns the number of lines dropped so far.
func (h *Handler) Dropped() int64 { return h.queue.dropped.Count() }

// Close writes the lines that wait and stops. It returns when that is done or
// ctx ends; later lines are dropped and counted.
func (h *Handler) Close(ctx context.Context) error {
	h.queue.stopOnce.Do(func() { close(h.queue.stop) })
	select {
	case <-h.queue.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "telem: close log")
	}
}

func (q *queue) drop() {
	q.dropped.Inc(1)
	q.pending.Add(1)
}

func (q *queue) run(own slog.Handler) {
	defer close(q.ended)
	for {
		select {
		case l := <-q.lines:
			q.write(l, own)
		case <-q.stop:
			q.drain(own)
			return
		}
	}
}

func (q *queue) drain(own slog.Handler) {
	for {
		select {
		case l := <-q.lines:
			q.write(l, own)
		default:
			return
		}
	}
}

func (q *queue) write(l line, own slog.Handler) {
	_ = l.to.Handle(context.Background(), l.record)
	q.written.Inc(1)
	if n := q.pending.Swap(0); n > 0 {
		r := slog.NewRecord(l.record.Time, slog.LevelWarn, "telem: log lines dropped", 0)
		r.AddAttrs(slog.Int64("lines", n), slog.String("reason", "queue_full"))
		_ = own.Handle(context.Background(), r)
	}
	q.out.lines++
	if len(q.lines) == 0 || len(q.out.text) >= batchBytes {
		q.waiting.Add(-q.out.flush())
	}
}

func prefixed(msg string) string {
	part, _, found := strings.Cut(msg, " ")
	if found && slices.Contains(prefixes, part) {
		return msg
	}
	return otherPrefix + msg
}

var (
	bearer     = regexp.MustCompile(`(?i)\bbearer\s+[^\s"]+`)
	orderToken = regexp.MustCompile(`([^\s~"=/]+)~[0-9a-fA-F]+~[0-9a-fA-F]*`)
)

// clean hides secrets in an attribute, whatever its type.
func clean(_ []string, a slog.Attr) slog.Attr {
	switch strings.ToLower(a.Key) {
	case "authorization", "bearer", "password", "secret", "admin_token":
		return slog.String(a.Key, hidden)
	}
	switch a.Value.Kind() {
	case slog.KindString, slog.KindAny:
	default:
		return a
	}
	// An error is written without the stack trace that pkg/errors adds to %+v.
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, Clean(err.Error()))
	}
	text := a.Value.String()
	if safe := Clean(text); safe != text {
		return slog.String(a.Key, safe)
	}
	// What is not an order token may be a bearer token.
	if strings.EqualFold(a.Key, "token") {
		return slog.String(a.Key, hidden)
	}
	return a
}

// Clean hides bearer tokens in a text and shortens order tokens to their issuer
// and last characters.
func Clean(text string) string {
	if strings.Contains(text, "~") {
		text = orderToken.ReplaceAllStringFunc(text, shorten)
	}
	if mayHoldBearer(text) {
		text = bearer.ReplaceAllString(text, "Bearer "+hidden)
	}
	return text
}

// mayHoldBearer is a cheap check before the expression: most lines hold none.
func mayHoldBearer(text string) bool {
	const word = "bearer"
	for i := 0; i+len(word) < len(text); i++ {
		if c := text[i]; (c == 'b' || c == 'B') && strings.EqualFold(text[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

func shorten(token string) string {
	issuer, _, _ := strings.Cut(token, "~")
	return issuer + "~..." + token[max(len(issuer)+1, len(token)-tokenTail):]
}
