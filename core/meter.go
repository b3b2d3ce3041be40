package core

// Meter records the measurements of a host. Names are in snake case and end with
// the unit. Implementations are safe for concurrent use and never block.
type Meter interface {
	// Count adds n to a counter.
	Count(name string, n int64)
	// Observe adds a value to a distribution.
	Observe(name string, value int64)
}

// NoMeter discards all measurements.
type NoMeter struct{}

var _ Meter = NoMeter{}

// Count implements Meter.
func (NoMeter) Count(string, int64) {}

// Observe implements Meter.
func (NoMeter) Observe(string, int64) {}

// MeterOr returns m, or a meter that discards all measurements when m is nil.
func MeterOr(m Meter) Meter {
	if m == nil {
		return NoMeter{}
	}
	return m
}
