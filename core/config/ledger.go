package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"

	"oriolebarrow/core"
)

// Version is one version of a section and the platform revision in which it
// was first seen. Versions of a section are totally ordered: the higher edition
// wins; for equal editions the lower revision wins, because it was accepted first.
// This order makes merging commutative, associative and idempotent, so that hosts
// converge in whatever order and however often they receive the versions.
type Version struct {
	section  *Section
	revision core.Revision
}

// NewVersion returns a version of a section.
func NewVersion(s *Section, r core.Revision) Version {
	return Version{section: s, revision: r}
}

// Section returns the section's content.
func (v Version) Section() *Section { return v.section }

// Revision returns the platform revision in which the version was first seen.
func (v Version) Revision() core.Revision { return v.revision }

// Supersedes reports whether v replaces other.
func (v Version) Supersedes(other Version) bool {
	a, b := v.section, other.section
	if a.edition != b.edition {
		return a.edition > b.edition
	}
	if v.revision != other.revision {
		return v.revision < other.revision
	}
	return a.hash < b.hash
}

// RefusedSection is a section that Apply refused, and the reason.
type RefusedSection struct {
	Key      string // kind and name, or the line if both are unreadable
	Revision core.Revision
	Reason   string
	Faults   []Fault // broken rules of an invalid section
}

// Ledger holds the active sections of one host. It is safe for concurrent use. It
// has one lock and calls no other component while it holds the lock.
type Ledger struct {
	mu          sync.RWMutex
	versions    map[Key]Version
	parsed      map[uint64]*Section // active sections by the hash of their text
	digests     [Buckets]uint64     // XOR of the digests of each bucket's versions
	refused     map[string]RefusedSection
	revision    core.Revision
	hasDocument bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		versions: make(map[Key]Version),
		parsed:   make(map[uint64]*Section),
		refused:  make(map[string]RefusedSection),
	}
}

// Apply merges a document and returns the keys of the sections that changed. It
// returns an error and changes nothing if the document is empty, truncated or too
// large. Sections that it refuses are listed by Refused.
func (l *Ledger) Apply(doc core.Document) ([]Key, error) {
	raw, err := Split(doc.Text)
	if err != nil {
		return nil, err
	}
	var changed []Key
	refused := make(map[string]RefusedSection)
	seen := make(map[Key]int)
	for _, r := range raw {
		section, faults := l.parse(r)
		if len(faults) > 0 {
			name := faults[0].Section
			if name == "" {
				name = fmt.Sprintf("line %d", r.line)
			}
			refused[name] = RefusedSection{Key: name, Revision: doc.Revision, Reason: faults[0].Error(), Faults: faults}
			continue
		}
		ok, reason := l.Merge(NewVersion(section, doc.Revision))
		if ok {
			changed = append(changed, section.key)
		}
		if line, listed := seen[section.key]; listed {
			reason = fmt.Sprintf("the section is listed twice, at lines %d and %d", line, r.line)
		}
		seen[section.key] = r.line
		if reason != "" {
			name := section.key.String()
			refused[name] = RefusedSection{Key: name, Revision: doc.Revision, Reason: reason}
		}
	}
	l.recordDocument(doc.Revision, refused)
	return changed, nil
}

// parse parses a section, or returns the active one if its text is unchanged, as it
// is for most sections of a new document.
func (l *Ledger) parse(raw RawSection) (*Section, []Fault) {
	l.mu.RLock()
	old := l.parsed[textHash(raw.text)]
	l.mu.RUnlock()
	if old != nil && bytes.Equal(bytes.TrimSpace(old.text), bytes.TrimSpace(raw.text)) {
		return old, nil
	}
	return Parse(raw)
}

func (l *Ledger) recordDocument(r core.Revision, refused map[string]RefusedSection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasDocument = true
	// The refused sections of an older document are outdated.
	if r >= l.revision {
		l.revision = r
		l.refused = refused
	}
}

// AdoptRevision raises the revision to r if digest equals this ledger's digest. The
// arguments come from a host that has applied the document up to r, so that equal
// digests mean that this ledger has, too. It reports whether the revision was raised.
// Merging a single section cannot raise it, since other sections of its document may
// be missing.
func (l *Ledger) AdoptRevision(digest uint64, r core.Revision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r <= l.revision || digest == 0 || digest != combine(l.digests[:]) {
		return false
	}
	l.revision = r
	return true
}

// Merge merges one version, from the platform or from another host. It reports
// whether the active section changed and, if the version was refused, the reason.
func (l *Ledger) Merge(v Version) (bool, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.versions[v.section.key]
	if !ok {
		l.put(v)
		return true, ""
	}
	same := old.section.edition == v.section.edition && old.section.hash == v.section.hash
	if v.Supersedes(old) {
		l.drop(old)
		l.put(v)
		return !same, ""
	}
	switch {
	case same:
		return false, ""
	case old.section.edition == v.section.edition:
		return false, "another change was accepted first under the same edition"
	default:
		return false, "edition is lower than the one in force"
	}
}

// put makes a version active. The caller must hold mu.
func (l *Ledger) put(v Version) {
	l.versions[v.section.key] = v
	l.parsed[v.section.hash] = v.section
	l.digests[v.section.key.bucket()] ^= v.digest()
}

// drop removes a version that put is about to replace from parsed and digests. The
// caller must hold mu.
func (l *Ledger) drop(v Version) {
	delete(l.parsed, v.section.hash)
	l.digests[v.section.key.bucket()] ^= v.digest()
}

// Versions returns the active versions, ordered by key, including those of removed
// sections.
func (l *Ledger) Versions() []Version {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]Version, 0, len(l.versions))
	for _, v := range l.versions {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Version) int {
		return strings.Compare(a.section.key.String(), b.section.key.String())
	})
	return out
}

// Refused returns the sections that were refused when the newest document was
// applied, ordered by key.
func (l *Ledger) Refused() []RefusedSection {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]RefusedSection, 0, len(l.refused))
	for _, r := range l.refused {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b RefusedSection) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Revision returns the highest platform revision whose document was applied
// completely.
func (l *Ledger) Revision() core.Revision {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// Service returns the service of an active section.
func (l *Ledger) Service(name core.ServiceName) (core.Service, bool) {
	v, ok := l.lookup(Key{Kind: KindBackend, Name: string(name)})
	if !ok {
		return core.Service{}, false
	}
	return v.section.service, true
}

// Services returns the services of all active sections, ordered by name.
func (l *Ledger) Services() []core.Service {
	var out []core.Service
	for _, v := range l.Versions() {
		if v.section.key.Kind == KindBackend && !v.section.removed {
			out = append(out, v.section.service)
		}
	}
	return out
}

// Caller returns the caller of an active section.
func (l *Ledger) Caller(name core.CallerName) (core.Caller, bool) {
	v, ok := l.lookup(Key{Kind: KindCaller, Name: string(name)})
	if !ok {
		return core.Caller{}, false
	}
	return v.section.caller, true
}

func (l *Ledger) lookup(k Key) (Version, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	v, ok := l.versions[k]
	return v, ok && !v.section.removed
}
