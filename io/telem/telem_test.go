package telem_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"oriolebarrow/io/telem"
)

func newLog(w io.Writer, o telem.Options) (*telem.Handler, *slog.Logger) {
	h := telem.NewHandler(w, o)
	return h, slog.New(h)
}

// Guards against secrets in the message or in any kind of attribute of a log line.
func TestSecretsAreHidden(t *testing.T) {
	const random = "00112233445566778899aabbccddeeff"
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		h, log := newLog(&out, telem.Options{Format: format})
		log.With("token", "host-1~a1~"+random).Info("entry: order host-1~a1~"+random,
			"err", errors.New("call host-1~a1~"+random+": refused"),
			"header", "Bearer abc123", "authorization", "abc123",
			slog.Group("in", "token", "host-1~a1~"+random), slog.Group("out", "token", "abc123"))
		if err := h.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, secret := range []string{random, "abc123"} {
			if strings.Contains(out.String(), secret) {
				t.Errorf("%s: log contains %q: %s", format, secret, out.String())
			}
		}
		if !strings.Contains(out.String(), "host-1~...eeff") {
			t.Errorf("%s: the issuer and the end of the order token are missing: %s", format, out.String())
		}
	}
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block because the reader of the log stopped reading,
// and against dropped lines that aren't counted.
func TestBlockedWriterDropsLines(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	metrics := telem.NewRegistry()
	h, log := newLog(w, telem.Options{Queue: 4, Metrics: metrics})
	for range 100 {
		log.Info("entry: batch planned")
	}
	// The writer may hold one line and the queue four.
	if d := h.Dropped(); d < 95 || d > 96 {
		t.Errorf("dropped %d lines, want 95 or 96", d)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if h.Close(ctx) == nil {
		t.Error("close returned no error although lines are not written")
	}
	close(w.release)
	if err := h.Close(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against a change of the log level that has no effect, and against lines
// without a prefix.
func TestLevelAndPrefix(t *testing.T) {
	var out bytes.Buffer
	h, log := newLog(&out, telem.Options{Level: slog.LevelWarn})
	log.Info("entry: first")
	if err := h.SetLevel("debug"); err != nil || h.Level() != "debug" {
		t.Fatalf("level %q, %v", h.Level(), err)
	}
	if h.SetLevel("loud") == nil {
		t.Error("an unknown level was accepted")
	}
	log.Debug("second")
	_ = h.Close(t.Context())
	if got := out.String(); strings.Contains(got, "first") || !strings.Contains(got, `msg="other: second"`) {
		t.Errorf("log: %s", got)
	}
}

// Guards against metrics that are missing in the export, and against a sum that
// covers only the sample instead of all values.
func TestExport(t *testing.T) {
	r := telem.NewRegistry()
	r.Counter("Caller requests").Inc(3)
	r.Gauge("tokens", func() int64 { return 7 })
	for range 5000 {
		r.Histogram("latency_us").Update(2)
	}
	r.Counter("tokens").Inc(1) // another type under the same name is ignored
	res := httptest.NewRecorder()
	r.Handler().ServeHTTP(res, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		"obw_caller_requests_total 3\n", "obw_tokens 7\n", "obw_latency_us_sum 10000\n",
		"obw_latency_us_count 5000\n", `obw_latency_us{quantile="0.99"} 2`,
	} {
		if !strings.Contains(res.Body.String(), want) {
			t.Errorf("no %q in\n%s", want, res.Body.String())
		}
	}
}
