package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

// Buckets is the number of digests that two hosts compare. With a document of
// 1 MB each bucket has a few sections, so that a comparison after a change of one
// section transfers about 2 KB of digests and a few sections, in one round trip.
const Buckets = 256

func (k Key) bucket() int {
	return int(xxhash.Sum64String(k.String()) % Buckets)
}

// digest returns a hash of the section's key and of everything that Supersedes
// compares.
func (v Version) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [24]byte
	binary.LittleEndian.PutUint64(num[0:], uint64(v.section.edition))
	binary.LittleEndian.PutUint64(num[8:], uint64(v.revision))
	binary.LittleEndian.PutUint64(num[16:], v.section.hash)
	_, _ = d.WriteString(v.section.key.String())
	_, _ = d.Write(num[:])
	return d.Sum64()
}

// Digests returns the digest of each bucket of active versions.
func (l *Ledger) Digests() []uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]uint64(nil), l.digests[:]...)
}

// Digest returns a digest of all active versions. Ledgers with the same versions
// have the same digest; that of an empty ledger is 0.
func (l *Ledger) Digest() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return combine(l.digests[:])
}

func combine(buckets []uint64) uint64 {
	var sum uint64
	for _, b := range buckets {
		sum ^= b
	}
	return sum
}

// Differing returns the versions in the buckets whose digest differs from the one
// given. Buckets beyond the end of digests are taken to differ.
func (l *Ledger) Differing(digests []uint64) []Version {
	own := l.Digests()
	var out []Version
	for _, v := range l.Versions() {
		b := v.section.key.bucket()
		if b >= len(digests) || own[b] != digests[b] {
			out = append(out, v)
		}
	}
	return out
}

// MergeText merges a section that another host sent. It reports whether the active
// section changed.
func (l *Ledger) MergeText(t core.SectionText) (bool, error) {
	if len(t.Text) > MaxDocumentBytes {
		return false, ErrTooLarge
	}
	section, faults := l.parse(NewRawSection(1, t.Text))
	if len(faults) > 0 {
		return false, faults[0]
	}
	ok, _ := l.Merge(NewVersion(section, t.Revision))
	return ok, nil
}

// HasDocument reports whether the ledger has applied a complete document, from the
// platform or from a host that had one.
func (l *Ledger) HasDocument() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.hasDocument
}

// MarkDocumentComplete records that a host with a complete document has sent all
// sections that differ, so that this ledger has a complete document, too.
func (l *Ledger) MarkDocumentComplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasDocument = true
}
