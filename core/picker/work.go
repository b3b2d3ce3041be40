package picker

import "time"

// workWeight is the weight of the newest call in the moving average of the expected
// durations of a replica's calls.
const workWeight = 0.05

// expectedOr returns the expected duration of the call, or another one if it is not stated.
func (c runningCall) expectedOr(other time.Duration) time.Duration {
	if c.expected <= 0 {
		return other
	}
	return max(c.expected, minExpected)
}

func (r *Replica) started(now time.Time, expected time.Duration) {
	r.calls = append(r.calls, runningCall{at: now, expected: expected, queueFactor: r.queueFactor(now)})
	r.running++
	if expected <= 0 {
		return
	}
	if r.usualWork == 0 {
		r.usualWork = float64(expected)
	}
	r.usualWork += workWeight * (float64(expected) - r.usualWork)
}

// queuedWork returns the time, in nanoseconds, by which the calls that run or wait at the replica
// delay a new one: their expected work divided by the slots. base is the expected duration of calls
// whose own is not known. Of the calls of other hosts only the reported number is known. They count
// as usual calls of this host, less the work that the slots have done since the report: a report
// that is used up attracts calls again before it is too old. The work of own calls is not reduced
// by the time that they have run, since a replica that pauses would seem to be idle.
func (r *Replica) queuedWork(now time.Time, base float64) float64 {
	slots := float64(max(1, r.inst.Slots))
	own := 0.0
	for _, c := range r.calls {
		own += float64(c.expectedOr(time.Duration(base)))
	}
	usual := r.usualWork
	if usual == 0 {
		usual = base
	}
	age, others := now.Sub(r.loadAt), 0.0
	if n := r.load.Running + r.load.Waiting - r.running; n > 0 && age < maxLoadAge {
		others = max(0, usual*float64(n)-slots*float64(max(0, age)))
	}
	return (own + others) / slots
}
