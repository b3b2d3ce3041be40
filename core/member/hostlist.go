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
	// HostBuckets is the number of digests that two hosts compare. In a fleet of
	// 3,300 hosts, a bucket contains about 13.
	HostBuckets = 256
	// settleTime is the minimum age of both lists before a list that a reader reads
	// unchanged replaces a different active one. Lists that differ only because one
	// reader lags become equal in a shorter time.
	settleTime = 10 * time.Second
	// hashBits is the number of low bits of a version that come from the digest of
	// the list. If two readers raise the version at the same time with different
	// lists, the versions differ and every host prefers the same one.
	hashBits = 24
)

// HostList is the active host list of one host. Some hosts, the readers, read it
// from the platform, whose list lags, may return to an older state and has no
// version. A reader therefore raises the version when the list that it reads
// changes, so that the higher version is the later observation. HostList is not
// safe for concurrent use.
type HostList struct {
	version       uint64
	entries       []core.HostEntry
	buckets       []uint64
	fetchedDigest uint64    // of the list last read from the platform
	fetchedSince  time.Time // when that list was first read
	adoptedAt     time.Time // when the active list became active
}

// NewHostList returns an empty host list.
func NewHostList() *HostList {
	return &HostList{buckets: make([]uint64, HostBuckets)}
}

// Version returns the version of the active list, 0 if there is none.
func (h *HostList) Version() uint64 { return h.version }

// Entries returns the active list. The caller must not change it.
func (h *HostList) Entries() []core.HostEntry { return h.entries }

// Digests returns the digest of each bucket of the active list.
func (h *HostList) Digests() []uint64 { return slices.Clone(h.buckets) }

// Fetched handles a list that was read from the platform and reports whether it
// became the active list. An empty list is ignored.
func (h *HostList) Fetched(now time.Time, entries []core.HostEntry) bool {
	if len(entries) == 0 {
		return false
	}
	sorted := sortEntries(entries)
	digest := listDigest(sorted)
	first := h.fetchedDigest == 0
	changed := h.fetchedDigest != digest
	if changed {
		h.fetchedDigest, h.fetchedSince = digest, now
	}
	if h.version > 0 && digest == listDigest(h.entries) {
		return false
	}
	// The first list that a reader reads may lag behind the active one. So may an
	// unchanged list that differs from the active one, until both are settleTime old.
	settled := now.Sub(h.fetchedSince) >= settleTime && now.Sub(h.adoptedAt) >= settleTime
	if h.version > 0 && (first || !changed) && !settled {
		return false
	}
	h.replace(now, (h.version>>hashBits+1)<<hashBits|digest&(1<<hashBits-1), sorted)
	return true
}

// Merge applies the differing buckets of another host's list if its version is
// higher, and reports whether the active list changed.
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
	// The digest of the result must match the low bits of the version. It does not
	// if one of the lists changed after the digests were sent; the next comparison
	// then merges the lists.
	if listDigest(entries)&(1<<hashBits-1) != version&(1<<hashBits-1) {
		return false
	}
	h.replace(now, version, entries)
	return true
}

// Differing returns the entries of each bucket whose digest differs from the given
// one. A bucket that is empty here has a nil value.
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

// replace makes a list the active one.
func (h *HostList) replace(now time.Time, version uint64, sorted []core.HostEntry) {
	h.version, h.entries, h.adoptedAt = version, sorted, now
	h.buckets = make([]uint64, HostBuckets)
	for _, e := range sorted {
		h.buckets[hostBucket(e.Host.ID())] ^= entryDigest(e)
	}
}

// sortEntries returns a copy of the entries, ordered by ID and with one for each ID.
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

// listDigest returns the digest of a list. It is never 0, which means no list.
func listDigest(entries []core.HostEntry) uint64 {
	sum := uint64(len(entries)) | 1<<63
	for _, e := range entries {
		sum ^= entryDigest(e) &^ (1 << 63)
	}
	return sum
}
