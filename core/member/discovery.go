package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// minBuckets and maxBuckets limit the number of digests in a pull. maxBuckets
	// digests of 4 bytes fill a packet. For each digest that differs, all hosts of the
	// bucket are sent, so a bucket should contain about hostsPerBucket hosts.
	minBuckets     = 16
	maxBuckets     = 256
	hostsPerBucket = 4
	// entriesPerPacket keeps a packet below the usual path MTU; an entry takes about
	// 30 bytes.
	entriesPerPacket = 30
	// maxEntryPackets limits the packets that answer one pull, so that many hosts
	// which start at the same time do not saturate the link of the host that they
	// ask. The next pull, from another random host, fetches more.
	maxEntryPackets = 12
	// minPullInterval is the interval between pulls while they return differences.
	// While they return none, the interval doubles up to maxPullInterval; pulls then
	// only make up for lost packets.
	minPullInterval = 200 * time.Millisecond
	maxPullInterval = 10 * time.Second
	// seedIntervalAlone and seedInterval are the intervals between packets to the
	// seeds that are not known to be running. The first applies while no other host
	// is known to be running.
	seedIntervalAlone = 300 * time.Millisecond
	seedInterval      = 5 * time.Second
	// remotePullEvery is the number of pulls of which one goes to a host of any data
	// centre. The others go to hosts of the local data centre.
	remotePullEvery = 8
)

// discovery is the state of a detector that finds the other hosts without a host list.
// It contacts the seeds, and regularly compares the hosts that it knows with those of a
// random host, mostly of the local data centre. A starting host thus receives each other
// host's entry about once, whichever seeds run, and the load is spread over the fleet.
type discovery struct {
	seeds         []string // addresses
	seedRounds    int      // times that the seeds were contacted
	nextSeedRound time.Time
	pulls         int
	nextPull      time.Time
	pullInterval  time.Duration
	matched       bool // a pull has returned no difference
}

// Join makes the detector find the other hosts without a host list, starting from the
// addresses in seeds. Some of them may be down or out of date.
func (d *Detector) Join(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.discovery = &discovery{pullInterval: minPullInterval}
	for _, address := range seeds {
		if address != d.self.Address() {
			d.discovery.seeds = append(d.discovery.seeds, address)
		}
	}
	// Hosts that start at the same time should first pull from different seeds.
	d.rng.Shuffle(len(d.discovery.seeds), func(i, j int) {
		s := d.discovery.seeds
		s[i], s[j] = s[j], s[i]
	})
}

// Synced reports whether at least one pull has returned no difference.
func (d *Detector) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.discovery != nil && d.discovery.matched
}

// contactSeeds pings the seeds that are not known to be running. While no other host is
// known to be running, one seed gets a pull instead of a ping.
func (d *Detector) contactSeeds(now time.Time, out []Send) []Send {
	disc := d.discovery
	if now.Before(disc.nextSeedRound) {
		return out
	}
	disc.nextSeedRound = now.Add(seedInterval)
	known := make(map[string]bool)
	for _, p := range d.peers {
		if p.reachable() && !p.heard.IsZero() {
			known[p.host.Address()] = true
		}
	}
	if len(known) == 0 {
		disc.nextSeedRound = now.Add(seedIntervalAlone)
	}
	for i, address := range disc.seeds {
		if known[address] {
			continue
		}
		to := core.NewHost("", "", address)
		if len(known) == 0 && i == disc.seedRounds%len(disc.seeds) {
			out = append(out, Send{To: to, Packet: d.pullPacket()})
			continue
		}
		d.seq++
		out = append(out, Send{To: to, Packet: d.packet(Ping, d.seq, nil)})
	}
	disc.seedRounds++
	return out
}

// startDuePull sends a pull to a random host if one is due.
func (d *Detector) startDuePull(now time.Time, out []Send) []Send {
	disc := d.discovery
	if now.Before(disc.nextPull) {
		return out
	}
	disc.nextPull = now.Add(disc.pullInterval)
	disc.pulls++
	if p := d.pullTarget(disc.pulls%remotePullEvery == 0); p != nil {
		out = append(out, Send{To: p.host, Packet: d.pullPacket()})
	}
	return out
}

// pullTarget returns a random reachable host; nil if there is none. Unless anywhere is
// set, it prefers hosts of the local data centre.
func (d *Detector) pullTarget(anywhere bool) *peer {
	var candidates, all []*peer
	for _, p := range d.peers {
		if !p.reachable() {
			continue
		}
		all = append(all, p)
		if p.host.DataCentre() == d.self.DataCentre() {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 || anywhere {
		candidates = all
	}
	if len(candidates) == 0 {
		return nil
	}
	// Map order is random. Sorting makes the choice depend on d.rng alone.
	slices.SortFunc(candidates, func(a, b *peer) int { return strings.Compare(string(a.host.ID()), string(b.host.ID())) })
	return candidates[d.rng.IntN(len(candidates))]
}

func (d *Detector) pullPacket() Packet {
	p := d.header(Pull, 0)
	n := minBuckets
	for n < maxBuckets && n*hostsPerBucket < len(d.peers) {
		n *= 2
	}
	p.Buckets = d.buckets(n)
	return p
}

// buckets returns the digests of n buckets of the hosts that are known to be running,
// including this one.
func (d *Detector) buckets(n int) []uint32 {
	out := make([]uint32, n)
	add := func(u Update) {
		out[bucketOf(u.Host.ID(), n)] ^= uint32(mix(xxhash.Sum64String(string(u.Host.ID())) ^ mix(uint64(u.Incarnation)<<1|uint64(u.State))))
	}
	if !d.leaving {
		add(d.ownUpdate())
	}
	for _, p := range d.peers {
		// A suspect host is digested with its state before the suspicion: a suspicion is
		// spread as an update, and is often refuted.
		if p.state < core.PeerLeaving || p.state == core.PeerSuspect {
			add(Update{Host: p.host, Incarnation: p.incarnation, State: p.readiness()})
		}
	}
	return out
}

func bucketOf(id core.HostID, n int) int { return int(xxhash.Sum64String(string(id)) % uint64(n)) }

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// answerPull returns the packets that answer a pull with the hosts of the buckets that
// differ, or one packet without entries if none differs.
func (d *Detector) answerPull(in Packet) []Send {
	updates := d.differing(in.Buckets[:min(len(in.Buckets), maxBuckets)], in.From.ID())
	var out []Send
	for first := true; first || len(updates) > 0; first = false {
		n := min(entriesPerPacket, len(updates))
		packet := d.header(Entries, 0)
		packet.Updates, updates = updates[:n], updates[n:]
		out = append(out, Send{To: in.From, Packet: packet})
	}
	return out
}

// differing returns the hosts of the buckets that differ, without the requester, and at
// most as many as may answer one pull. They are ordered by ID, since consecutive similar
// IDs are encoded in fewer bytes.
func (d *Detector) differing(buckets []uint32, requester core.HostID) []Update {
	if len(buckets) == 0 {
		return nil
	}
	own := d.buckets(len(buckets))
	differs := func(id core.HostID) bool {
		at := bucketOf(id, len(buckets))
		return id != requester && buckets[at] != own[at]
	}
	var updates []Update
	if !d.leaving && differs(d.self.ID()) {
		updates = append(updates, d.ownUpdate())
	}
	for _, p := range d.shuffled(d.peers, func(p *peer) bool { return p.state != core.PeerDead && differs(p.host.ID()) }) {
		updates = append(updates, Update{Host: p.host, Incarnation: p.incarnation, State: p.state})
	}
	updates = updates[:min(len(updates), maxEntryPackets*entriesPerPacket)]
	slices.SortFunc(updates, func(a, b Update) int { return strings.Compare(string(a.Host.ID()), string(b.Host.ID())) })
	return updates
}

// mergeEntries applies the answer to a pull and sets the time of the next pull. The
// changes are not spread further: each host gets them by its own pulls, and the host
// concerned spreads its own state.
func (d *Detector) mergeEntries(now time.Time, in Packet) {
	disc := d.discovery
	if disc == nil {
		return
	}
	if len(in.Updates) == 0 {
		disc.matched = true
		disc.pullInterval = min(2*disc.pullInterval, maxPullInterval)
	} else {
		disc.pullInterval = minPullInterval
	}
	disc.nextPull = now.Add(disc.pullInterval)
	for _, u := range in.Updates {
		queued := d.broadcasts.has(u.Host.ID())
		d.apply(now, u)
		if !queued && u.Host.ID() != d.self.ID() {
			d.broadcasts.remove(u.Host.ID())
		}
	}
}
