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
	// defaultQueueLength is about the number of lines that a busy host logs in a second.
	defaultQueueLength = 8192
	// batchBytes is the size at which a batch is written; about a hundred lines.
	batchBytes     = 32 << 10
	tokenTailBytes = 4 // bytes at the end of an order token that aren't hidden
	redacted       = "[hidden]"
	otherPrefix    = "other: "
)

// ErrLevel is returned for an unknown log level.
var ErrLevel = errors.New("telem: want debug, info, warn or error")

var prefixes = []string{"admin:", "caller:", "config:", "entry:", "gate:", "gossip:", "member:", "mirror:", "node:", "order:", "owner:", "pause:", "peer:", "plat:", "relay:", "remote:", "telem:"}

// Prefixes returns the prefixes that log lines may begin with, one for each component
// of a host.
func Prefixes() []string { return slices.Clone(prefixes) }

// Options configures a Handler.
type Options struct {
	Format  string // "text" or "json"
	Level   slog.Level
	Queue   int // maximum number of queued lines; 0 for the default
	Metrics *Registry
}

type line struct {
	handler slog.Handler // formats the record with the attributes and groups of its logger
	record  slog.Record
}

// queue passes lines to the writing goroutine. A Handler shares it with the handlers
// derived from it.
type queue struct {
	lines      chan line
	stop       chan struct{}
	stopOnce   sync.Once
	done       chan struct{} // closed when run returns
	level      slog.LevelVar
	unwritten  atomic.Int64 // lines that were accepted and not written yet
	unreported atomic.Int64 // dropped lines that no log line has reported yet
	written    metrics.Counter
	dropped    metrics.Counter
	out        *batch
}

// batch collects formatted lines and writes them together, since in a burst one
// system call per line would cost more than formatting the line. Only the goroutine
// that writes lines uses it.
type batch struct {
	dest   io.Writer
	text   []byte
	lines  int64 // number of lines in text that came from the queue
	failed metrics.Counter
}

// Write implements io.Writer. It adds text to the batch.
func (b *batch) Write(text []byte) (int, error) {
	b.text = append(b.text, text...)
	return len(text), nil
}

// flush writes the batch and returns the number of lines from the queue in it. A
// failed write is only counted in the metrics, since it can't be logged.
func (b *batch) flush() (lines int64) {
	if _, err := b.dest.Write(b.text); err != nil {
		b.failed.Inc(1)
	}
	lines, b.lines, b.text = b.lines, 0, b.text[:0]
	return lines
}

// Handler is a slog.Handler that never blocks its caller. It hides secrets, and it
// adds the prefix "other: " to a message that doesn't begin with one of Prefixes.
// Another goroutine formats attribute values later, so they must not be changed
// after the call.
type Handler struct {
	queue *queue
	inner slog.Handler
}

var _ slog.Handler = (*Handler)(nil)

// NewHandler returns a Handler that writes to w until Close is called.
func NewHandler(w io.Writer, o Options) *Handler {
	if o.Queue <= 0 {
		o.Queue = defaultQueueLength
	}
	if o.Metrics == nil {
		o.Metrics = NewRegistry()
	}
	q := &queue{
		lines:   make(chan line, o.Queue),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		written: o.Metrics.Counter("log_lines"),
		dropped: o.Metrics.Counter("log_lines_dropped"),
		out:     &batch{dest: w, failed: o.Metrics.Counter("log_writes_failed")},
	}
	q.level.Set(o.Level)
	opts := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: redactAttr}
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
	r.Message = withPrefix(r.Message)
	select {
	case <-h.queue.stop:
		h.queue.drop()
		return nil
	default:
	}
	// Lines in the batch count as unwritten. One more than the length of the queue is
	// allowed, for the line that the writing goroutine has received.
	if h.queue.unwritten.Add(1) > int64(cap(h.queue.lines))+1 {
		h.queue.unwritten.Add(-1)
		h.queue.drop()
		return nil
	}
	select {
	case h.queue.lines <- line{handler: h.inner, record: r}:
	default:
		h.queue.unwritten.Add(-1)
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

// Level implements core.LogLevels. It returns the lowest level that is written.
func (h *Handler) Level() string { return strings.ToLower(h.queue.level.Level().String()) }

// SetLevel implements core.LogLevels. It changes the lowest level that is written.
func (h *Handler) SetLevel(text string) error {
	l, err := ParseLevel(text)
	if err != nil {
		return err
	}
	h.queue.level.Set(l)
	return nil
}

// ParseLevel returns the level with the given name.
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

// Dropped returns the number of lines that were dropped so far.
func (h *Handler) Dropped() int64 { return h.queue.dropped.Count() }

// Close writes the queued lines and stops the writing goroutine. It returns when
// that is done or ctx ends. Lines logged afterwards are dropped and counted.
func (h *Handler) Close(ctx context.Context) error {
	h.queue.stopOnce.Do(func() { close(h.queue.stop) })
	select {
	case <-h.queue.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "telem: close log")
	}
}

func (q *queue) drop() {
	q.dropped.Inc(1)
	q.unreported.Add(1)
}

// run writes queued lines until the queue is stopped. The line that reports dropped
// lines goes to base, which has no attributes of a logger.
func (q *queue) run(base slog.Handler) {
	defer close(q.done)
	for {
		select {
		case l := <-q.lines:
			q.write(l, base)
		case <-q.stop:
			q.drain(base)
			return
		}
	}
}

func (q *queue) drain(base slog.Handler) {
	for {
		select {
		case l := <-q.lines:
			q.write(l, base)
		default:
			return
		}
	}
}

func (q *queue) write(l line, base slog.Handler) {
	_ = l.handler.Handle(context.Background(), l.record)
	q.written.Inc(1)
	if n := q.unreported.Swap(0); n > 0 {
		r := slog.NewRecord(l.record.Time, slog.LevelWarn, "telem: log lines dropped", 0)
		r.AddAttrs(slog.Int64("lines", n), slog.String("reason", "queue_full"))
		_ = base.Handle(context.Background(), r)
	}
	q.out.lines++
	if len(q.lines) == 0 || len(q.out.text) >= batchBytes {
		q.unwritten.Add(-q.out.flush())
	}
}

// withPrefix returns msg with the prefix "other: " unless it has a known one.
func withPrefix(msg string) string {
	prefix, _, found := strings.Cut(msg, " ")
	if found && slices.Contains(prefixes, prefix) {
		return msg
	}
	return otherPrefix + msg
}

var (
	bearerToken = regexp.MustCompile(`(?i)\bbearer\s+[^\s"]+`)
	orderToken  = regexp.MustCompile(`([^\s~"=/]+)~[0-9a-fA-F]+~[0-9a-fA-F]*`)
)

// redactAttr hides secrets in an attribute. Values of kinds that can't contain text,
// such as numbers, are hidden only if the key names a secret.
func redactAttr(_ []string, a slog.Attr) slog.Attr {
	switch strings.ToLower(a.Key) {
	case "authorization", "bearer", "password", "secret", "admin_token":
		return slog.String(a.Key, redacted)
	}
	switch a.Value.Kind() {
	case slog.KindString, slog.KindAny:
	default:
		return a
	}
	// Using err.Error() leaves out the stack trace that pkg/errors adds to %+v.
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, Redact(err.Error()))
	}
	text := a.Value.String()
	if safe := Redact(text); safe != text {
		return slog.String(a.Key, safe)
	}
	// A token without the form of an order token may be a bearer token.
	if strings.EqualFold(a.Key, "token") {
		return slog.String(a.Key, redacted)
	}
	return a
}

// Redact hides bearer tokens in a text and shortens order tokens to their issuer and
// their last characters.
func Redact(text string) string {
	if strings.Contains(text, "~") {
		text = orderToken.ReplaceAllStringFunc(text, shortenToken)
	}
	if mayContainBearer(text) {
		text = bearerToken.ReplaceAllString(text, "Bearer "+redacted)
	}
	return text
}

// mayContainBearer reports whether a text contains the word bearer followed by other
// characters. Most lines don't, and this check is cheaper than the regular expression.
func mayContainBearer(text string) bool {
	const word = "bearer"
	for i := 0; i+len(word) < len(text); i++ {
		if c := text[i]; (c == 'b' || c == 'B') && strings.EqualFold(text[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

// shortenToken returns the issuer and the last characters of an order token.
func shortenToken(token string) string {
	issuer, _, _ := strings.Cut(token, "~")
	return issuer + "~..." + token[max(len(issuer)+1, len(token)-tokenTailBytes):]
}
