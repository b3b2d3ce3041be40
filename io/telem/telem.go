// Package telem holds the metrics of one host and its decision log.
//
// Log lines are written by a goroutine of their own from a bounded queue. A
// line that finds the queue full is dropped and counted, so that a slow log
// reader never delays a request.
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
	// namespace starts the name of every exported metric.
	namespace = "obw_"
	// sampleSize and sampleAlpha are the values that go-metrics recommends for
	// a histogram weighted towards the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Registry holds the metrics of one host under names in snake case. It is safe
// for concurrent use.
type Registry struct {
	inner metrics.Registry
}

var _ core.Meter = (*Registry)(nil)

// NewRegistry returns a registry without metrics.
func NewRegistry() *Registry { return &Registry{inner: metrics.NewRegistry()} }

// Counter returns the counter of a name, created at its first use.
func (r *Registry) Counter(name string) metrics.Counter {
	c, ok := r.inner.GetOrRegister(snake(name), metrics.NewCounter).(metrics.Counter)
	if !ok {
		return metrics.NilCounter{}
	}
	return c
}

// Histogram returns the histogram of a name, created at its first use.
func (r *Registry) Histogram(name string) metrics.Histogram {
	h, ok := r.inner.GetOrRegister(snake(name), newHistogram).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

// Count adds n to the counter of a name.
func (r *Registry) Count(name string, n int64) { r.Counter(name).Inc(n) }

// Observe adds a value to the histogram of a name.
func (r *Registry) Observe(name string, value int64) { r.Histogram(name).Update(value) }

// CounterFunc registers a counter that is kept elsewhere and read when the
// metrics are read. A later one of the same name replaces it.
func (r *Registry) CounterFunc(name string, read func() int64) {
	r.inner.Unregister(snake(name))
	_ = r.inner.Register(snake(name), counterFunc(read))
}

// counterFunc is a counter that is kept elsewhere.
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

// Gauge registers a gauge that reads its value when the metrics are read. A
// later gauge of the same name replaces it.
func (r *Registry) Gauge(name string, read func() int64) {
	r.inner.Unregister(snake(name))
	_ = r.inner.Register(snake(name), metrics.NewFunctionalGauge(read))
}

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{r.inner})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// histogram counts all values for its sum; the sample of go-metrics keeps only
// some of them, and a sum of those would not grow with the count.
type histogram struct {
	metrics.Histogram
	sum atomic.Int64
}

func newHistogram() metrics.Histogram {
	return &histogram{Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// Update adds a value.
func (h *histogram) Update(v int64) {
	h.sum.Add(v)
	h.Histogram.Update(v)
}

// Sum returns the sum of all values.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// collector exports a go-metrics registry. It describes no metric in advance,
// because metrics are created at their first use.
type collector struct {
	from metrics.Registry
}

// Describe implements prometheus.Collector.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.from.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			out <- constant(name+"_total", prometheus.CounterValue, m.Count())
		case metrics.Gauge:
			out <- constant(name, prometheus.GaugeValue, m.Value())
		case metrics.Histogram:
			out <- summary(name, m)
		}
	})
}

func constant(name string, kind prometheus.ValueType, value int64) prometheus.Metric {
	return prometheus.MustNewConstMetric(describe(name), kind, float64(value))
}

func summary(name string, h metrics.Histogram) prometheus.Metric {
	s := h.Snapshot()
	values := make(map[float64]float64, len(quantiles))
	for i, v := range s.Percentiles(quantiles) {
		values[quantiles[i]] = v
	}
	return prometheus.MustNewConstSummary(describe(name), uint64(s.Count()), float64(h.Sum()), values)
}

func describe(name string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+name, "See docs/OPERATIONS.md.", nil, nil)
}

// snake replaces what the Prometheus format does not allow in a name.
func snake(name string) string {
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
