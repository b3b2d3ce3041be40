package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// minBuckets and maxBuckets are the numbers of digests that two hosts compare, 4 bytes
	// each, for a few hosts a bucket; the largest fills a packet. A difference costs the
	// hosts of its bucket.
	minBuckets     = 16
	maxBuckets     = 256
	hostsPerBucket = 4
	// entriesPerPacket keeps a packet below the usual path MTU, at about 30 bytes an
	// entry.
	entriesPerPacket = 30
	// entryPackets bounds the packets that answer one pull, so that many hosts which
	// start at once do not fill the link of the one that they ask. The next pull, which
	// goes to another host, continues.
	entryPackets = 12
	// pullSoon is the interval of pulls while they bring news. It grows to pullLater
	// while they do not: later pulls repair what lost packets left out.
	pullSoon  = 200 * time.Millisecond
	pullLater = 10 * time.Second
	// greetSoon and greetLater are the intervals of greetings to seeds that are not
	// known as running hosts, while no host is known and afterwards.
	greetSoon  = 300 * time.Millisecond
	greetLater = 5 * time.Second
	// farPulls is how many pulls pass until one goes to any data centre; the others
	// stay in this host's.
	farPulls = 8
)

// exchange is how a detector without a host list learns of the others. It greets the
// seeds until one answers, and compares what it knows with other hosts in turn, mostly of
// its own data centre: each start of a host costs it one list, whatever the seeds do, and
// the work is spread over the fleet.
type exchange struct {
	seeds   []string // addresses
	asked   int      // greetings so far
	greetAt time.Time
	pulls   int
	pullAt  time.Time
	wait    time.Duration // until the next pull
	matched bool          // another host knew the same, once
}

// Join makes the detector find the others by itself, beginning at the seeds, which may be
// down or out of date.
func (d *Detector) Join(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchange = &exchange{wait: pullSoon}
	for _, address := range seeds {
		if address != d.self.Address() {
			d.exchange.seeds = append(d.exchange.seeds, address)
		}
	}
	// Hosts that start together ask different seeds first.
	d.rng.Shuffle(len(d.exchange.seeds), func(i, j int) {
		s := d.exchange.seeds
		s[i], s[j] = s[j], s[i]
	})
}

// Matched reports whether another host knew the same hosts as this one, once.
func (d *Detector) Matched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchange != nil && d.exchange.matched
}

// greet calls the seeds that are not known to run. One of them is asked for what it knows.
func (d *Detector) greet(now time.Time, out []Send) []Send {
	x := d.exchange
	if now.Before(x.greetAt) {
		return out
	}
	x.greetAt = now.Add(greetLater)
	known := make(map[string]bool)
	for _, p := range d.peers {
		if p.reachable() && !p.heard.IsZero() {
			known[p.host.Address()] = true
		}
	}
	if len(known) == 0 {
		x.greetAt = now.Add(greetSoon)
	}
	for i, address := range x.seeds {
		if known[address] {
			continue
		}
		to := core.NewHost("", "", address)
		if len(known) == 0 && i == x.asked%len(x.seeds) {
			out = append(out, Send{To: to, Packet: d.pullPacket()})
			continue
		}
		d.seq++
		out = append(out, Send{To: to, Packet: d.packet(Ping, d.seq, nil)})
	}
	x.asked++
	return out
}

// pull compares what this host knows with another one.
func (d *Detector) pull(now time.Time, out []Send) []Send {
	x := d.exchange
	if now.Before(x.pullAt) {
		return out
	}
	x.pullAt = now.Add(x.wait)
	x.pulls++
	if p := d.partner(x.pulls%farPulls == 0); p != nil {
		out = append(out, Send{To: p.host, Packet: d.pullPacket()})
	}
	return out
}

// partner returns a random running host, of this data centre if there is one and far is
// not set.
func (d *Detector) partner(far bool) *peer {
	var near, all []*peer
	for _, p := range d.peers {
		if !p.reachable() {
			continue
		}
		all = append(all, p)
		if p.host.DataCentre() == d.self.DataCentre() {
			near = append(near, p)
		}
	}
	if len(near) == 0 || far {
		near = all
	}
	if len(near) == 0 {
		return nil
	}
	// The order makes the choice depend on the random source alone.
	slices.SortFunc(near, func(a, b *peer) int { return strings.Compare(string(a.host.ID()), string(b.host.ID())) })
	return near[d.rng.IntN(len(near))]
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

// buckets returns n digests of the running hosts that are known, this one included.
func (d *Detector) buckets(n int) []uint32 {
	out := make([]uint32, n)
	put := func(u Update) {
		out[bucketOf(u.Host.ID(), n)] ^= uint32(mix(xxhash.Sum64String(string(u.Host.ID())) ^ mix(uint64(u.Incarnation)<<1|uint64(u.State))))
	}
	if !d.leaving {
		put(d.own())
	}
	for _, p := range d.peers {
		// Claims that a host is lost are spread by themselves, and are often refuted.
		if p.state < core.PeerLeaving || p.state == core.PeerSuspect {
			put(Update{Host: p.host, Incarnation: p.incarnation, State: p.readiness()})
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

// answerPull returns the hosts of the buckets that differ, or a packet without any.
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

// differing returns the hosts of the buckets that differ, as many as one pull may bring,
// without the host that asks. Names that follow each other are written in less.
func (d *Detector) differing(buckets []uint32, asking core.HostID) []Update {
	if len(buckets) == 0 {
		return nil
	}
	own := d.buckets(len(buckets))
	differs := func(id core.HostID) bool {
		at := bucketOf(id, len(buckets))
		return id != asking && buckets[at] != own[at]
	}
	var updates []Update
	if !d.leaving && differs(d.self.ID()) {
		updates = append(updates, d.own())
	}
	for _, p := range d.shuffled(d.peers, func(p *peer) bool { return p.state != core.PeerDead && differs(p.host.ID()) }) {
		updates = append(updates, Update{Host: p.host, Incarnation: p.incarnation, State: p.state})
	}
	updates = updates[:min(len(updates), entryPackets*entriesPerPacket)]
	slices.SortFunc(updates, func(a, b Update) int { return strings.Compare(string(a.Host.ID()), string(b.Host.ID())) })
	return updates
}

// takeEntries merges the answer to a pull and sets the time of the next one. What is news
// here is not spread: each host learns it by its own pulls, and the host that it is about
// spreads it.
func (d *Detector) takeEntries(now time.Time, in Packet) {
	x := d.exchange
	if x == nil {
		return
	}
	if len(in.Updates) == 0 {
		x.matched = true
		x.wait = min(2*x.wait, pullLater)
	} else {
		x.wait = pullSoon
	}
	x.pullAt = now.Add(x.wait)
	for _, u := range in.Updates {
		queued := d.news.has(u.Host.ID())
		d.apply(now, u)
		if !queued && u.Host.ID() != d.self.ID() {
			d.news.drop(u.Host.ID())
		}
	}
}
