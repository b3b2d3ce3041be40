package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
	"oriolebarrow/core/room"
)

// roomOf returns how many queries over a set of shards, named by its first one, are let in.
func (r *Relay) roomOf(set core.ServiceName) *room.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rooms[set]
	if !ok {
		m = room.New()
		r.rooms[set] = m
	}
	return m
}

// letIn reports whether there is room for the query, and otherwise when its caller may
// come back.
func (j *job) letIn() (after time.Duration, ok bool) {
	hash := xxhash.Sum64String(string(j.req.ID))
	now := time.Now()
	if j.room.Admit(now, hash) {
		return 0, true
	}
	j.relay.Meter.Count("relay_no_room", 1)
	return max(retrySoon, j.room.After(j.deadline.Sub(now), j.route.Target, xxhash.Sum64String("after "+string(j.req.ID)))), false
}

// want is how many shards had no room, and how many of them are not in.
type want struct {
	crowded int
	lacking int
	told    bool
	room    float64 // least share that a host told
}

func (w *want) add(r *core.TaskResult) {
	w.crowded += r.Crowded
	w.lacking += r.Lacking
	if !w.told || r.Room < w.room {
		w.told, w.room = true, r.Room
	}
}

// wanted counts the shards without room: a replica refused, no extra call was left, or a
// call waits where others waited before it.
func (j *job) wanted(now time.Time) want {
	w := j.told
	for i := range j.legs {
		l := &j.legs[i]
		in := j.query.Included(i)
		waits := l.running > 0 && !in && slices.ContainsFunc(l.tried, func(r *fleet.Replica) bool {
			return j.relay.Fleet.Crowded(now, r)
		})
		if !l.refused && !waits {
			continue
		}
		w.crowded++
		if !in {
			w.lacking++
		}
	}
	return w
}

// learnRoom notes whether the query had enough parts when it could be closed, and whether
// it would have had with room at all shards.
func (j *job) learnRoom(now time.Time) {
	w := j.wanted(now)
	whole := j.query.Enough()
	j.room.Ended(whole, w.crowded > 0 && (whole || j.query.EnoughWith(w.lacking)))
	if w.told {
		j.room.Tell(now, w.room)
	}
}
