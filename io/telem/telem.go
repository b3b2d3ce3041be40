// Package telem provides the metrics and the log handler of one host.
//
// Log lines go through a bounded queue to a goroutine that writes them. A line that
// doesn't fit into the queue is dropped and counted, so that a slow reader of the
// log never delays a request.
//
// # Usage
//
//	metrics := telem.NewRegistry()
//	h := telem.NewHandler(os.Stderr, telem.Options{Format: "json", Metrics: metrics})
//	defer h.Close(ctx)
//	log := slog.New(h)
//	http.Handle("/metrics", metrics.Handler())
package telem

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	metrics "github.com/rcrowley/go-metrics"

	"oriolebarrow/core"
)

const (
	// namespace is the prefix of the name of every exported metric.
	namespace = "obw_"
	// sampleSize and sampleAlpha are the values that go-metrics recommends for a
	// sample in which the last five minutes weigh most.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Registry holds the metrics of one host. Names are converted to snake case. It is
// safe for concurrent use.
type Registry struct {
	inner metrics.Registry
}

var _ core.Meter = (*Registry)(nil)

// NewRegistry returns a registry without metrics.
func NewRegistry() *Registry { return &Registry{inner: metrics.NewRegistry()} }

// Counter returns the counter with the given name and creates it on first use. If
// another type of metric has the name, the counter records nothing.
func (r *Registry) Counter(name string) metrics.Counter {
	c, ok := r.inner.GetOrRegister(snakeCase(name), metrics.NewCounter).(metrics.Counter)
	if !ok {
		return metrics.NilCounter{}
	}
	return c
}

// Histogram returns the histogram with the given name and creates it on first use.
// If another type of metric has the name, the histogram records nothing.
func (r *Registry) Histogram(name string) metrics.Histogram {
	h, ok := r.inner.GetOrRegister(snakeCase(name), newHistogram).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

// Count implements core.Meter: it adds n to a counter.
func (r *Registry) Count(name string, n int64) { r.Counter(name).Inc(n) }

// Observe implements core.Meter: it adds a value to a histogram.
func (r *Registry) Observe(name string, value int64) { r.Histogram(name).Update(value) }

// CounterFunc registers a counter whose value comes from read each time that the
// metrics are exported. It replaces any metric with the same name.
func (r *Registry) CounterFunc(name string, read func() int64) {
	r.inner.Unregister(snakeCase(name))
	_ = r.inner.Register(snakeCase(name), counterFunc(read))
}

// counterFunc is a counter whose value comes from a function.
type counterFunc func() int64

var _ metrics.Counter = counterFunc(nil)

// Count implements metrics.Counter.
func (f counterFunc) Count() int64 { return f() }

// Snapshot implements metrics.Counter.
func (f counterFunc) Snapshot() metrics.Counter { return f }

// Clear implements metrics.Counter; it has no effect.
func (counterFunc) Clear() {}

// Inc implements metrics.Counter; it has no effect.
func (counterFunc) Inc(int64) {}

// Dec implements metrics.Counter; it has no effect.
func (counterFunc) Dec(int64) {}

// Gauge registers a gauge whose value comes from read each time that the metrics
// are exported. It replaces any metric with the same name.
func (r *Registry) Gauge(name string, read func() int64) {
	r.inner.Unregister(snakeCase(name))
	_ = r.inner.Register(snakeCase(name), metrics.NewFunctionalGauge(read))
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{r.inner})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// histogram adds up all of its values. The sample of go-metrics keeps only some
// values, so its sum wouldn't grow with the count.
type histogram struct {
	metrics.Histogram
	sum atomic.Int64
}

func newHistogram() metrics.Histogram {
	return &histogram{Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// Update implements metrics.Histogram.
func (h *histogram) Update(v int64) {
	h.sum.Add(v)
	h.Histogram.Update(v)
}

// Sum implements metrics.Histogram. It returns the sum of all values.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// collector exports a go-metrics registry to Prometheus. It describes no metric in
// advance, since metrics are created on first use.
type collector struct {
	registry metrics.Registry
}

// Describe implements prometheus.Collector.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			out <- constMetric(name+"_total", prometheus.CounterValue, m.Count())
		case metrics.Gauge:
			out <- constMetric(name, prometheus.GaugeValue, m.Value())
		case metrics.Histogram:
			out <- summaryMetric(name, m)
		}
	})
}

func constMetric(name string, kind prometheus.ValueType, value int64) prometheus.Metric {
	return prometheus.MustNewConstMetric(newDesc(name), kind, float64(value))
}

func summaryMetric(name string, h metrics.Histogram) prometheus.Metric {
	s := h.Snapshot()
	values := make(map[float64]float64, len(quantiles))
	for i, v := range s.Percentiles(quantiles) {
		values[quantiles[i]] = v
	}
	return prometheus.MustNewConstSummary(newDesc(name), uint64(s.Count()), float64(h.Sum()), values)
}

func newDesc(name string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+name, "See docs/OPERATIONS.md.", nil, nil)
}

// snakeCase converts a name to lower case and replaces each character that the
// Prometheus format doesn't allow with an underscore.
func snakeCase(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '_':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		default:
			return '_'
		}
	}, name)
}
