package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

// Buckets is the number of digests that two hosts compare. With a document of
// 1 MB it leaves a few sections in each bucket, so that one changed section
// costs about 2 KB of digests and a few sections, in one round trip.
const Buckets = 256

func (k Key) bucket() int {
	return int(xxhash.Sum64String(k.String()) % Buckets)
}

// digest covers all that the order of versions depends on.
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

// Digests returns one digest for each bucket of versions in force.
func (l *Ledger) Digests() []uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]uint64(nil), l.buckets[:]...)
}

// Digest returns one number that equal ledgers share; an empty one has 0.
func (l *Ledger) Digest() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return combine(l.buckets[:])
}

func combine(buckets []uint64) uint64 {
	var sum uint64
	for _, b := range buckets {
		sum ^= b
	}
	return sum
}

// Differing returns the versions in the buckets whose digest is another one
// than that of the asking host. Missing digests count as those of no sections.
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

// MergeText merges a section that another host sent. It reports whether the
// section is now in force.
func (l *Ledger) MergeText(t core.SectionText) (bool, error) {
	if len(t.Text) > MaxDocumentBytes {
		return false, ErrTooLarge
	}
	section, faults := l.parse(NewPart(1, t.Text))
	if len(faults) > 0 {
		return false, faults[0]
	}
	ok, _ := l.Merge(NewVersion(section, t.Revision))
	return ok, nil
}

// HasDocument reports whether the ledger has taken a whole document, from the
// platform or from a host that had one.
func (l *Ledger) HasDocument() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.document
}

// NoteDocument records that a host with a whole document has sent all that it
// holds.
func (l *Ledger) NoteDocument() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.document = true
}
