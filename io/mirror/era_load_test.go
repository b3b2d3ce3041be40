package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

// writers are the replicas and the operator. They write to a directory, and again what it has
// lost: replicas within a second of a return, the operator too.
type writers struct {
	d          *fakeDirectory
	rng        *rand.Rand
	sequence   map[string]int64 // writes of each replica
	gone       map[string]bool
	version    uint64
	evacuated  bool // data centre a
	rewriteAt  time.Time
	revisions  []core.Revision // from which the directory may return
	lapseAfter time.Time       // when entries of gone replicas lapse that came back with a copy
}

func (w *writers) writeReplica(id string) {
	w.sequence[id]++
	w.d.put(written(id, w.sequence[id]))
}

// living returns the replicas that are not gone.
func (w *writers) living() (ids []string) {
	for id := range w.sequence {
		if !w.gone[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *writers) step(now time.Time) {
	ids := w.living()
	switch w.rng.IntN(40) {
	case 0, 1:
		w.writeReplica(fmt.Sprint("i-", len(w.sequence)))
	case 2:
		if len(ids) > 3 {
			id := ids[w.rng.IntN(len(ids))]
			w.gone[id] = true
			w.d.put(core.DirectoryItem{ID: core.InstanceID(id)})
		}
	case 3:
		w.version++
		w.d.put(routingItem(w.version))
	case 4:
		w.evacuated = !w.evacuated
		w.d.put(evacuation("a", !w.evacuated))
	case 5, 6:
		w.revisions = append(w.revisions, w.d.revision)
	}
	if !w.rewriteAt.IsZero() && now.After(w.rewriteAt) {
		w.rewriteAt = time.Time{}
		for _, id := range ids {
			w.writeReplica(id)
		}
		w.d.put(routingItem(w.version))
		w.d.put(evacuation("a", !w.evacuated))
	}
	if !w.lapseAfter.IsZero() && now.After(w.lapseAfter) {
		w.lapseAfter = time.Time{}
		for id := range w.gone {
			w.d.put(core.DirectoryItem{ID: core.InstanceID(id)})
		}
	}
}

// returnFromCopy makes the directory return from one of its latest states.
func (w *writers) returnFromCopy(now time.Time) {
	recent := w.revisions[max(0, len(w.revisions)-3):]
	r := recent[w.rng.IntN(len(recent))]
	w.revisions = slices.DeleteFunc(w.revisions, func(o core.Revision) bool { return o > r })
	w.d.returnFrom(r)
	w.rewriteAt = now.Add(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
	w.lapseAfter = now.Add(6 * time.Second)
}

// TestHostsNeverGoBack guards against a host that goes back in any schedule of writes, returns,
// outages and cuts, whoever follows whom. At each moment: the position and the version of the
// routing document of each host never decrease, and no host uses a replica that it has lost
// and that is gone, unless by an entry which it had not seen (a copy may have one). In the end, all hosts agree with the writers.
func TestHostsNeverGoBack(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { checkSchedule(t, seed) })
	}
}

func checkSchedule(t *testing.T, seed uint64) {
	const hosts = 5
	rng := rand.New(rand.NewPCG(seed, 5))
	d := newFakeDirectory()
	w := &writers{d: d, rng: rng, sequence: map[string]int64{}, gone: map[string]bool{}, version: 1}
	d.put(routingItem(w.version))
	for i := range 4 {
		w.writeReplica(fmt.Sprint("i-", i))
	}
	w.revisions = []core.Revision{d.revision}
	var all []*testMirror
	var links []*directoryLink
	var feeds []*fakeFeeds
	for range hosts {
		links, feeds = append(links, &directoryLink{fakeDirectory: d}), append(feeds, newFakeFeeds())
		all = append(all, startMirror(t, links[len(links)-1], feeds[len(feeds)-1]))
	}
	connect := func() { // each host follows one or two others, and some read the directory
		for i, f := range feeds {
			f.withLock(func() {
				clear(f.sources)
				for range 2 {
					if n := rng.IntN(hosts); n != i {
						f.sources[core.HostID(fmt.Sprint("host-", n))] = all[n]
					}
				}
				f.reads = rng.IntN(2) == 0 || len(f.sources) == 0
			})
		}
	}
	advance(2 * time.Second)
	connect()
	type past struct {
		at      core.Position
		written map[string]int64 // newest entries of replicas that the host has used
		removed map[string]bool  // those of them that it lost
	}
	seen := make([]past, hosts)
	for i := range seen {
		seen[i].written, seen[i].removed = map[string]int64{}, map[string]bool{}
	}
	check := func(step int) {
		for i, m := range all {
			update, err := m.Follow(t.Context(), 0, 0, 0)
			if err != nil || update.Age > time.Second {
				continue
			}
			at := update.Update.Position()
			if at.Before(seen[i].at) {
				t.Fatalf("seed %d, step %d: host %d went from %v back to %v", seed, step, i, seen[i].at, at)
			}
			seen[i].at = at
			written := map[string]int64{}
			for _, item := range update.Update.Items {
				if item.Instance != nil {
					written[string(item.ID)] = item.Instance.Sequence
				}
			}
			for id := range w.sequence {
				gone := w.gone[id]
				last, known := seen[i].written[id]
				switch used := m.uses(id); {
				case used && seen[i].removed[id] && written[id] <= last:
					t.Fatalf("seed %d, step %d: host %d uses %s again by write %d, which is gone since write %d", seed, step, i, id, written[id], last)
				case used:
					seen[i].written[id], seen[i].removed[id] = max(last, written[id]), false
				case gone && known && len(m.Evacuated()) == 0:
					seen[i].removed[id] = true
				}
			}
			if got := m.versions(); !slices.IsSorted(got) {
				t.Fatalf("seed %d, step %d: host %d had the versions %v", seed, step, i, got)
			}
		}
	}
	for step := range 600 {
		now := time.Now()
		w.step(now)
		switch rng.IntN(60) {
		case 0:
			w.returnFromCopy(now)
		case 1:
			connect()
		case 2:
			links[rng.IntN(hosts)].cut()
		case 3, 4:
			links[rng.IntN(hosts)].restore()
		case 5:
			down := rng.IntN(2) == 0
			d.withLock(func() { d.down = down })
		}
		advance(time.Duration(rng.IntN(100)) * time.Millisecond)
		check(step)
	}
	d.withLock(func() { d.down = false })
	for _, l := range links {
		l.restore()
	}
	w.rewriteAt, w.lapseAfter = time.Now(), time.Now()
	for id := range w.gone {
		d.put(core.DirectoryItem{ID: core.InstanceID(id)})
	}
	for _, id := range w.living() {
		w.writeReplica(id)
	}
	d.put(routingItem(w.version))
	d.put(evacuation("a", !w.evacuated))
	advance(8 * time.Second)
	for i, m := range all {
		if got := m.versions(); got[len(got)-1] != w.version {
			t.Errorf("seed %d: host %d ends with version %d, want %d", seed, i, got[len(got)-1], w.version)
		}
		if got := len(m.Evacuated()) > 0; got != w.evacuated {
			t.Errorf("seed %d: host %d ends with evacuated %v, want %v", seed, i, got, w.evacuated)
		}
		for id := range w.sequence {
			gone := w.gone[id]
			if got := m.uses(id); got != (!gone && !w.evacuated) {
				t.Errorf("seed %d: host %d uses %s: %v, gone %v, evacuated %v", seed, i, id, got, gone, w.evacuated)
			}
		}
	}
}
