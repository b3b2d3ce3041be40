package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// HostBuckets is the number of digests that two hosts compare; 3,300 hosts
	// leave 13 in each bucket.
	HostBuckets = 256
	// settleTime is how long a reader sees the same list before it replaces a
	// different one in force. It is longer than two readers' lists differ by lag.
	settleTime = 10 * time.Second
	// hashBits of a version come from the content, so that two readers that
	// raise the version at the same time make two versions with one order.
	hashBits = 24
)

// HostList is the host list in force on one host. The platform's list has no
// version, lags and may go back; a reader raises the version when the list that
// it reads changes, so the higher version is the later observation. It is not
// safe for concurrent use.
type HostList struct {
	version uint64
	entries []core.HostEntry
	buckets []uint64
	fetched uint64    // digest of the list last read from the platform
	since   time.Time // when that list was first read
	adopted time.Time // when the list in force was taken
}

// NewHostList returns an empty host list.
func NewHostList() *HostList {
	return &HostList{buckets: make([]uint64, HostBuckets)}
}

// Version returns the version in force, 0 for none.
func (h *HostList) Version() uint64 { return h.version }

// Entries returns the list in force. The caller must not change it.
func (h *HostList) Entries() []core.HostEntry { return h.entries }

// Digests returns one digest for each bucket.
func (h *HostList) Digests() []uint64 { return slices.Clone(h.buckets) }

// Fetched takes a list that was read from the platform and reports whether the
// list in force changed. An empty list is not news.
func (h *HostList) Fetched(now time.Time, entries []core.HostEntry) bool {
	if len(entries) == 0 {
		return false
	}
	sorted := sortEntries(entries)
	digest := listDigest(sorted)
	first := h.fetched == 0
	changed := h.fetched != digest
	if changed {
		h.fetched, h.since = digest, now
	}
	if h.version > 0 && digest == listDigest(h.entries) {
		return false
	}
	// A reader that just started may read a list that lags behind the fleet's,
	// and a list that does not change says nothing new until it has settled.
	settled := now.Sub(h.since) >= settleTime && now.Sub(h.adopted) >= settleTime
	if h.version > 0 && (first || !changed) && !settled {
		return false
	}
	h.set(now, (h.version>>hashBits+1)<<hashBits|digest&(1<<hashBits-1), sorted)
	return true
}

// Merge takes the buckets of a higher version that differ and reports whether
// the list in force changed.
func (h *HostList) Merge(now time.Time, version uint64, buckets map[int][]core.HostEntry) bool {
	if version <= h.version {
		return false
	}
	var entries []core.HostEntry
	for _, e := range h.entries {
		if _, replaced := buckets[hostBucket(e.Host.ID())]; !replaced {
			entries = append(entries, e)
		}
	}
	for _, b := range buckets {
		entries = append(entries, b...)
	}
	entries = sortEntries(entries)
	// The content must be that of the version; a list that changed while the
	// digests travelled is asked for again.
	if listDigest(entries)&(1<<hashBits-1) != version&(1<<hashBits-1) {
		return false
	}
	h.set(now, version, entries)
	return true
}

// Differing returns the content of the buckets that differ from the digests.
func (h *HostList) Differing(digests []uint64) map[int][]core.HostEntry {
	out := make(map[int][]core.HostEntry)
	for b, own := range h.buckets {
		if b >= len(digests) || digests[b] != own {
			out[b] = nil
		}
	}
	for _, e := range h.entries {
		b := hostBucket(e.Host.ID())
		if _, ok := out[b]; ok {
			out[b] = append(out[b], e)
		}
	}
	return out
}

func (h *HostList) set(now time.Time, version uint64, sorted []core.HostEntry) {
	h.version, h.entries, h.adopted = version, sorted, now
	h.buckets = make([]uint64, HostBuckets)
	for _, e := range sorted {
		h.buckets[hostBucket(e.Host.ID())] ^= entryDigest(e)
	}
}

func sortEntries(entries []core.HostEntry) []core.HostEntry {
	out := slices.Clone(entries)
	slices.SortFunc(out, func(a, b core.HostEntry) int {
		return cmp.Or(strings.Compare(string(a.Host.ID()), string(b.Host.ID())), cmp.Compare(entryDigest(a), entryDigest(b)))
	})
	return slices.CompactFunc(out, func(a, b core.HostEntry) bool { return a.Host.ID() == b.Host.ID() })
}

func hostBucket(id core.HostID) int { return int(xxhash.Sum64String(string(id)) % HostBuckets) }

func entryDigest(e core.HostEntry) uint64 {
	text := string(e.Host.ID()) + "\x00" + string(e.Host.DataCentre()) + "\x00" + e.Host.Address()
	if e.Leaving {
		text += "\x00leaving"
	}
	return xxhash.Sum64String(text)
}

// listDigest is never 0, which stands for no list.
func listDigest(entries []core.HostEntry) uint64 {
	sum := uint64(len(entries)) | 1<<63
	for _, e := range entries {
		sum ^= entryDigest(e) &^ (1 << 63)
	}
	return sum
}
