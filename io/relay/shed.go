package relay

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/demand"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/shed"
)

// shardSet holds what this host has observed of the queries over a set of shards.
type shardSet struct {
	first    core.ServiceName // the first shard
	shedder  *shed.Shedder
	demand   *demand.Meter
	rejected budget.Rejected
}

// setFor returns the state of a set of shards. The first shard identifies the set.
func (r *Relay) setFor(first core.ServiceName) *shardSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sets[first]
	if !ok {
		s = &shardSet{first: first, shedder: shed.New(shed.Options{Compete: r.Compete}), demand: demand.New()}
		r.sets[first] = s
	}
	return s
}

// admit decides whether the query is admitted.
func (j *job) admit() shed.Decision {
	now := time.Now()
	d := j.decideQuery(now)
	if d.Admitted {
		return d
	}
	if d.Reason != shed.ReasonEarly {
		j.set.rejected.Add(now)
	}
	j.relay.Meter.Count("relay_no_room", 1)
	return d
}

// decideQuery asks admission control for the query.
func (j *job) decideQuery(now time.Time) shed.Decision {
	ask := j.askFor(now)
	ask.Queue = j.queueTime(now)
	return j.set.shedder.Admit(now, ask)
}

// queueTime returns how long it takes until the calls that wait at this host have started. It
// takes them to be spread evenly over the shards of the query.
func (j *job) queueTime(now time.Time) time.Duration {
	waiting := j.relay.waiting.Len()
	if waiting == 0 {
		return 0
	}
	slots := max(1, j.relay.Replicas.Slots(now, j.set.first)) * len(j.subs)
	return time.Duration(float64(j.estimate.Usual) * float64(waiting) / float64(slots))
}

// overload counts the shards of a query whose replicas were at capacity.
type overload struct {
	shards   int     // shards at capacity
	missing  int     // those of them whose parts are missing
	hasShare bool    // whether a delegate has reported a share
	minShare float64 // smallest share of queries to admit that a delegate has reported
}

func (o *overload) add(r *core.TaskResult) {
	o.shards += r.Overloaded
	o.missing += r.OverloadedMissing
	if !o.hasShare || r.AdmitShare < o.minShare {
		o.hasShare, o.minShare = true, r.AdmitShare
	}
}

// countOverload counts the shards at capacity: those where a replica refused a call, the
// extra-call budget was empty, or a call is running although a tried replica has lately
// reported at least as many waiting calls as it has slots. A call that waits at this host for
// a slot does not count: that happens whenever a replica pauses.
func (j *job) countOverload(now time.Time) overload {
	o := j.taskOverload
	for i := range j.subs {
		sub := &j.subs[i]
		included := j.query.Included(i)
		waits := sub.running > 0 && !included && slices.ContainsFunc(sub.tried, func(r *picker.Replica) bool {
			return j.relay.Replicas.Overloaded(now, r)
		})
		if !sub.overloaded && !waits {
			continue
		}
		o.shards++
		if !included {
			o.missing++
		}
	}
	return o
}

// updateShedder reports the query to the shedder at its closing time, or at its end if that
// is earlier: whether it has enough parts, and whether shards were at capacity. Shards at
// capacity don't count if the query would lack parts even with theirs.
func (j *job) updateShedder(now time.Time) {
	o := j.countOverload(now)
	enough := j.query.Enough()
	j.set.shedder.Ended(enough, o.shards > 0 && (enough || j.query.EnoughWith(o.missing)))
	if o.hasShare {
		j.set.shedder.SetPeerShare(now, o.minShare)
	}
}
