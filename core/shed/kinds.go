package shed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxKinds limits the kinds of a set; further ones share one record.
	maxKinds = 64
	// maxCallers limits the callers of a kind whose demand is known. The demand of others is
	// not limited by that of the rest.
	maxCallers = 128
	// levelInterval is the time between two computations of the level of the callers.
	levelInterval = 50 * time.Millisecond
	// minLevel keeps the level above 0 while nearly all demand has decayed.
	minLevel = 0.01
	// idleDemand is the decayed number of requests below which a caller is forgotten.
	idleDemand = 0.05
	// floorOfAll times the admitted share of all requests is the least admitted share of a
	// kind. A kind must be served at least a quarter as often as all; admitted requests of a
	// kind may fail more often than others.
	floorOfAll = 0.4
	// returnPart is the largest part of the admitted requests of a kind for callers that come
	// back. They earn about half of what new ones do.
	returnPart = 0.5
	// floorSteps halve the range of the floor; the result is exact to 1 in 1,000.
	floorSteps = 10
)

// kind is what is known of the requests of one route.
type kind struct {
	priority  int
	work      sum // expected work
	count     sum // requests
	returned  sum // requests of callers that came back when told
	callers   map[string]*sum
	invited   []invitation
	lastPlace time.Time // of the latest invitation
	level     float64   // see fairLevel
	levelAt   time.Time // when level was computed
	limited   sum       // unscaled shares of callers, see callerShare
	asked     sum       // requests that limited sums
	repeats   contents
}

// allocation is the share of a kind that is admitted.
type allocation struct {
	kind        *kind
	work, count float64
	admit       float64
}

// allocate divides the share of the work that is admitted among the kinds: by priority, above
// a floor for each.
func allocate(now time.Time, kinds []*kind, share float64) []allocation {
	all := make([]allocation, 0, len(kinds))
	work := 0.0
	for _, k := range kinds {
		a := allocation{kind: k, work: k.work.get(now), count: k.count.get(now)}
		work += a.work
		all = append(all, a)
	}
	slices.SortStableFunc(all, func(a, b allocation) int { return cmp.Compare(a.kind.priority, b.kind.priority) })
	low, high := 0.0, share
	for range floorSteps {
		floor := (low + high) / 2
		fill(all, share*work, work, floor)
		if floor < floorOfAll*admitted(all) {
			low = floor
		} else {
			high = floor
		}
	}
	fill(all, share*work, work, high)
	return all
}

// fill gives each kind the floor, and what is left of the admitted work to the kinds in their
// order. Kinds of the same priority get the same share.
func fill(all []allocation, capacity, work, floor float64) {
	left := capacity - floor*work
	for from := 0; from < len(all); {
		to, group := from, 0.0
		for ; to < len(all) && all[to].kind.priority == all[from].kind.priority; to++ {
			group += all[to].work
		}
		more := 1 - floor
		if group > 0 {
			more = min(more, max(0, left)/group)
		}
		for i := from; i < to; i++ {
			all[i].admit = floor + more
		}
		left -= more * group
		from = to
	}
}

// admitted returns the share of all requests that is admitted.
func admitted(all []allocation) float64 {
	count, sum := 0.0, 0.0
	for _, a := range all {
		count += a.count
		sum += a.count * a.admit
	}
	if count <= 0 {
		return 0
	}
	return sum / count
}

// split divides the admitted share of a kind among callers that come back and new requests.
func (k *kind) split(now time.Time, share float64) (returning, fresh float64) {
	count, returned := k.count.get(now), k.returned.get(now)
	if returned <= 0 || count <= returned {
		return share, share
	}
	returning = min(1, max(share, returnPart*share*count/returned))
	return returning, min(1, max(0, share*count-returning*returned)/(count-returned))
}

// addCaller records a request of a caller.
func (k *kind) addCaller(now time.Time, caller string) {
	s, ok := k.callers[caller]
	if !ok {
		if len(k.callers) >= maxCallers {
			for key, s := range k.callers {
				if s.get(now) < idleDemand {
					delete(k.callers, key)
				}
			}
		}
		if len(k.callers) >= maxCallers {
			return
		}
		s = new(sum)
		k.callers[caller] = s
	}
	s.add(now, 1)
}

// callerShare returns the share of a caller's requests that is admitted if share is that of
// all callers: all get the same number of requests, unless they ask for fewer. The demands of
// callers with few requests are uncertain, so the shares are scaled such that their mean over
// the requests is that of all.
func (k *kind) callerShare(now time.Time, caller string, share float64) float64 {
	own, ok := k.callers[caller]
	if !ok || len(k.callers) < 2 {
		return share
	}
	if now.Sub(k.levelAt) >= levelInterval {
		k.level, k.levelAt = k.fairLevel(now, share), now
	}
	limited := 1.0
	if d := own.get(now); d > k.level {
		limited = k.level / d
	}
	k.limited.add(now, limited)
	k.asked.add(now, 1)
	return min(1, share*limited*k.asked.get(now)/k.limited.get(now))
}

// fairLevel returns the demand up to which callers are served in full if a share of all demand
// is served.
func (k *kind) fairLevel(now time.Time, share float64) float64 {
	demands := make([]float64, 0, len(k.callers))
	total := 0.0
	for _, s := range k.callers {
		demands = append(demands, s.get(now))
		total += demands[len(demands)-1]
	}
	slices.Sort(demands)
	left, level := share*total, 0.0
	for i, d := range demands {
		level = left / float64(len(demands)-i)
		if d >= level {
			break
		}
		left -= d
	}
	return max(level, minLevel)
}
