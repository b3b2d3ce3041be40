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
// was first seen. Versions of a section are totally ordered: a higher edition
// wins; under the same edition the lower revision wins, because it was accepted
// first. The order makes merging commutative, associative and idempotent, so
// hosts converge whatever they receive and in which order.
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

// Beats reports whether v replaces other.
func (v Version) Beats(other Version) bool {
	a, b := v.section, other.section
	if a.edition != b.edition {
		return a.edition > b.edition
	}
	if v.revision != other.revision {
		return v.revision < other.revision
	}
	return a.hash < b.hash
}

// Refused tells why a published section is not in force.
type Refused struct {
	Key      string // kind and name, or the line when they are not readable
	Revision core.Revision
	Reason   string
	Faults   []Fault // broken rules of an invalid section
}

// Ledger holds the sections in force on one host. It is safe for concurrent
// use; it has one lock and calls nothing while it holds it.
type Ledger struct {
	mu       sync.RWMutex
	versions map[Key]Version
	parsed   map[uint64]*Section // sections in force by the hash of their text
	buckets  [Buckets]uint64
	refused  map[string]Refused
	revision core.Revision
	document bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		versions: make(map[Key]Version),
		parsed:   make(map[uint64]*Section),
		refused:  make(map[string]Refused),
	}
}

// Apply merges a document and returns the keys that changed. An empty or
// truncated document is an error and changes nothing.
func (l *Ledger) Apply(doc core.Document) ([]Key, error) {
	parts, err := Split(doc.Text)
	if err != nil {
		return nil, err
	}
	var changed []Key
	refused := make(map[string]Refused)
	seen := make(map[Key]int)
	for _, p := range parts {
		section, faults := l.parse(p)
		if len(faults) > 0 {
			name := faults[0].Section
			if name == "" {
				name = fmt.Sprintf("line %d", p.line)
			}
			refused[name] = Refused{Key: name, Revision: doc.Revision, Reason: faults[0].Error(), Faults: faults}
			continue
		}
		ok, reason := l.Merge(NewVersion(section, doc.Revision))
		if ok {
			changed = append(changed, section.key)
		}
		if line, twice := seen[section.key]; twice {
			reason = fmt.Sprintf("the section is listed twice, at lines %d and %d", line, p.line)
		}
		seen[section.key] = p.line
		if reason != "" {
			name := section.key.String()
			refused[name] = Refused{Key: name, Revision: doc.Revision, Reason: reason}
		}
	}
	l.noteDocument(doc.Revision, refused)
	return changed, nil
}

// parse reuses the section in force when the text is unchanged, since most
// sections of a new document are.
func (l *Ledger) parse(p Part) (*Section, []Fault) {
	l.mu.RLock()
	old := l.parsed[textHash(p.text)]
	l.mu.RUnlock()
	if old != nil && bytes.Equal(bytes.TrimSpace(old.text), bytes.TrimSpace(p.text)) {
		return old, nil
	}
	return Parse(p)
}

func (l *Ledger) noteDocument(r core.Revision, refused map[string]Refused) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.document = true
	// Refusals of an older document are not news.
	if r >= l.revision {
		l.revision = r
		l.refused = refused
	}
}

// Note records that another host has read the document up to revision r and has
// the sections of the digest in force. If this ledger has the same, the revision
// is in force here too. It reports whether the revision is higher than before.
// A merged section alone doesn't show that the rest of its document is here.
func (l *Ledger) Note(digest uint64, r core.Revision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r <= l.revision || digest == 0 || digest != combine(l.buckets[:]) {
		return false
	}
	l.revision = r
	return true
}

// Merge takes one version, from the platform or from another host. It reports
// whether the version is now in force and, when it was refused, why.
func (l *Ledger) Merge(v Version) (bool, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.versions[v.section.key]
	if !ok {
		l.put(v)
		return true, ""
	}
	same := old.section.edition == v.section.edition && old.section.hash == v.section.hash
	if v.Beats(old) {
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

func (l *Ledger) put(v Version) {
	l.versions[v.section.key] = v
	l.parsed[v.section.hash] = v.section
	l.buckets[v.section.key.bucket()] ^= v.digest()
}

func (l *Ledger) drop(v Version) {
	delete(l.parsed, v.section.hash)
	l.buckets[v.section.key.bucket()] ^= v.digest()
}

// Versions returns the versions in force, ordered by key, removed ones too.
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

// Refused returns the sections of the newest document that are not in force.
func (l *Ledger) Refused() []Refused {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]Refused, 0, len(l.refused))
	for _, r := range l.refused {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Refused) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Revision returns the highest platform revision that is in force as a whole.
func (l *Ledger) Revision() core.Revision {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// Service returns a service in force.
func (l *Ledger) Service(name core.ServiceName) (core.Service, bool) {
	v, ok := l.lookup(Key{Kind: KindBackend, Name: string(name)})
	if !ok {
		return core.Service{}, false
	}
	return v.section.service, true
}

// Services returns all services in force, ordered by name.
func (l *Ledger) Services() []core.Service {
	var out []core.Service
	for _, v := range l.Versions() {
		if v.section.key.Kind == KindBackend && !v.section.removed {
			out = append(out, v.section.service)
		}
	}
	return out
}

// Caller returns a caller in force.
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
