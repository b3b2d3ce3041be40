package expt

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/io/memnet"
)

const (
	controlFixedSections = 299 // sections that don't change, next to one that does
	controlGroups        = 28  // groups of two replicas in a section: about 1 MB for all sections
	controlIdleTime      = 2 * time.Second
	// controlChangeInterval gives 12 times as many changes as at the design size.
	// Figures at the design rate are computed from the cost of one change.
	controlChangeInterval = time.Second
	designChangeInterval  = 12 * time.Second
	controlSettleTime     = time.Second
	// controlServices is the number of services listed in the section that changes.
	// It gives that section the mean size of all sections.
	controlServices = 300
)

// control measures the cost of membership and configuration. It covers the whole
// process, including the in-memory network and platform. The measurement intervals
// are shorter than the 10 s after which a watch of the platform times out.
//
// Hosts start with the document already applied and share its sections, because
// parsing it on hundreds of hosts in one process would take minutes. The point
// "document" holds the cost of the first parse; its memory is added to that of
// each host.
func control() experiment {
	return experiment{
		name:     "control",
		expected: 70 * time.Second,
		targets:  controlTargets(),
		shown:    []string{"cpu_us_per_host_s", "memory_bytes_per_host", "bytes_per_host_s"},
		about:    "processor time, memory and bytes a host for membership and configuration, by number of hosts",
		rounds:   1,
		variants: func(settings) []variant {
			return memberVariants(func(ctx context.Context, s settings, p core.Placer) (Points, error) {
				doc, err := parseDocument()
				if err != nil {
					return nil, err
				}
				out := Points{"document": doc.figures}
				for _, hosts := range pick(s, []int{9, 30}, []int{9, 30, 100, 300}) {
					figures, err := controlPoint(ctx, s, p, doc, hosts)
					if err != nil {
						return nil, err
					}
					out[fmt.Sprintf("hosts_%d", hosts)] = figures
				}
				return out, nil
			})
		},
		conclude: func(r *Result) {
			r.Slopes = make(map[string]map[string]Spread)
			for name, rounds := range r.raw {
				r.Slopes[name] = spreads(controlSlopes(rounds))["slope"]
			}
		},
	}
}

// fixedSections returns sections that don't change, about 1 MB in all.
func fixedSections() string {
	var b strings.Builder
	for n := range controlFixedSections {
		fmt.Fprintf(&b, "kind: backend\nname: service_%d\nteam: t\nedition: 1\nslots: 2\nconnections: 25\ngroups:\n", n)
		for g := range controlGroups {
			fmt.Fprintf(&b, "  - - {address: \"10.%d.%d.1:8080\", data_centre: dc-%d}\n", n%256, g, g%memberDataCentres)
			fmt.Fprintf(&b, "    - {address: \"10.%d.%d.2:8080\", data_centre: dc-%d}\n", n%256, g, (g+1)%memberDataCentres)
		}
		b.WriteString("---\n")
	}
	return b.String()
}

// parsedDocument holds the fixed sections, their parsed versions and the cost of
// the first parse.
type parsedDocument struct {
	text     string
	versions []config.Version
	figures  Figures
}

func parseDocument() (parsedDocument, error) {
	d := parsedDocument{text: fixedSections()}
	heap, ledger := heapInUse(), config.NewLedger()
	before := processorTime()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: []byte(d.text + "kind: end\n")}); err != nil {
		return d, err
	}
	used := processorTime() - before
	d.figures = Figures{
		"parse_cpu_us": float64(used.Microseconds()),
		"memory_bytes": heapInUse() - heap,
		"bytes":        float64(len(d.text)),
	}
	d.versions = ledger.Versions()
	return d, nil
}

// preload applies the document to a host that doesn't run yet.
func (d parsedDocument) preload(h *memnet.Host) {
	for _, v := range d.versions {
		h.Ledger.Merge(v)
	}
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var self syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	return time.Duration(self.Utime.Nano() + self.Stime.Nano())
}

// controlPoint measures the given number of hosts, first idle and then while the
// configuration changes.
func controlPoint(ctx context.Context, s settings, p core.Placer, doc parsedDocument, hosts int) (Figures, error) {
	heap := heapInUse()
	m := newMembers(p, doc.text)
	defer m.stop()
	m.services = controlServices
	m.cluster.Prepare = doc.preload
	m.publish()
	if err := m.start(hosts); err != nil {
		return nil, err
	}
	if err := m.waitSettled(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, controlSettleTime)
	out := Figures{
		"hosts":                 float64(hosts),
		"sections":              controlFixedSections + 1,
		"memory_bytes_per_host": (heapInUse()-heap)/float64(hosts) + doc.figures["memory_bytes"],
	}
	before := m.usage()
	sleep(ctx, controlIdleTime)
	idle := before.until(m.usage())
	n := pick(s, 2, 3)
	before = m.usage()
	for range n {
		m.publish()
		sleep(ctx, controlChangeInterval)
	}
	if err := m.waitSettled(ctx); err != nil {
		return nil, err
	}
	out.addCosts(idle, before.until(m.usage()), float64(hosts), float64(n))
	return out, nil
}

// addCosts adds the cost of an idle host, of one change and of both at the design
// rate. The cost of a change is the usage that exceeds the idle rate.
func (f Figures) addCosts(idle, busy controlUsage, hosts, changes float64) {
	idle.addBytes()
	busy.addBytes()
	for name, x := range idle.figures {
		rate := x / idle.seconds
		change := max(0, busy.figures[name]-rate*busy.seconds) / changes
		f[name+"_idle_per_host_s"] = rate / hosts
		f[name+"_per_host_change"] = change / hosts
		f[name+"_per_host_s"] = (rate + change/designChangeInterval.Seconds()) / hosts
	}
}

// heapInUse returns the bytes of live heap objects and stacks.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // sync.Pool and finalizers keep memory alive for one more collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// controlUsage holds the resources used by the process and the hosts: either the
// totals up to a time, or the usage during an interval.
type controlUsage struct {
	at      time.Time // of totals
	seconds float64   // length of an interval
	figures Figures
}

// usage returns the totals over all hosts up to now. The bytes between hosts are
// those of gossip packets and exchanges without the framing of UDP, drpc and TCP.
func (m *members) usage() controlUsage {
	out := controlUsage{at: time.Now(), figures: Figures{
		"cpu_us":         float64(processorTime().Microseconds()),
		"platform_bytes": float64(m.cluster.Platform.Bytes()),
		"platform_reads": float64(m.cluster.Platform.Reads()),
	}}
	for _, h := range m.hosts {
		out.figures["gossip_bytes"] += float64(h.Agent.Stats().SentBytes)
		out.figures["exchange_bytes"] += float64(h.PulledBytes())
		out.figures["exchanges"] += float64(h.Agent.Stats().Pulls)
	}
	return out
}

// until returns the usage between the totals u and later.
func (u controlUsage) until(later controlUsage) controlUsage {
	out := controlUsage{seconds: later.at.Sub(u.at).Seconds(), figures: Figures{}}
	for name, x := range later.figures {
		out.figures[name] = x - u.figures[name]
	}
	return out
}

// addBytes adds the sum of the bytes that hosts send to each other and receive
// from the platform.
func (u controlUsage) addBytes() {
	u.figures["bytes"] = u.figures["gossip_bytes"] + u.figures["exchange_bytes"] + u.figures["platform_bytes"]
}

// controlSlopes fits the costs per host over the number of hosts, separately for
// each round.
func controlSlopes(rounds []Points) []Points {
	var out []Points
	for _, points := range rounds {
		fitted := Figures{"memory_bytes_per_host": slope(points, "hosts", "memory_bytes_per_host", "sections", controlFixedSections+1)}
		for _, name := range []string{"cpu_us", "bytes", "gossip_bytes", "exchange_bytes", "platform_bytes", "platform_reads"} {
			fitted[name+"_per_host_s"] = slope(points, "hosts", name+"_per_host_s", "sections", controlFixedSections+1)
		}
		out = append(out, Points{"slope": fitted})
	}
	return out
}
