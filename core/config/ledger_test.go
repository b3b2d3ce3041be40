package config_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
)

// change is one published version of section a.
type change struct {
	edition  int
	revision core.Revision
	rate     int
}

func (c change) text() core.SectionText {
	return core.SectionText{Revision: c.revision, Text: []byte(callerSection("a", c.edition, c.rate)[len("---\n"):])}
}

// supersedes reports whether a replaces b, independently of the ledger: the higher
// edition wins, then the change that was accepted first.
func supersedes(a, b change) bool {
	return a.edition > b.edition || a.edition == b.edition && a.revision < b.revision
}

func drawChanges(t *rapid.T) []change {
	n := rapid.IntRange(1, 6).Draw(t, "changes")
	out := make([]change, 0, n)
	for i := range n {
		// Each revision has one version of the section.
		out = append(out, change{
			edition:  rapid.IntRange(1, 3).Draw(t, "edition"),
			revision: core.Revision(i + 1),
			rate:     i + 1,
		})
	}
	return out
}

func activeVersion(l *config.Ledger) change {
	for _, v := range l.Versions() {
		return change{int(v.Section().Edition()), v.Revision(), int(v.Section().Caller().Policy().Rate)}
	}
	return change{}
}

// TestLedgersConvergeAndNeverGoBack guards against hosts that end up with different
// versions, and against an active version that is replaced by an older one. Every
// host gets every change twice, in any order, in a document or from another host.
func TestLedgersConvergeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t)
		want := changes[0]
		for _, c := range changes {
			if supersedes(c, want) {
				want = c
			}
		}
		var digests []uint64
		for host := range 3 {
			l := config.NewLedger()
			order := rapid.Permutation(append(changes, changes...)).Draw(t, fmt.Sprint("order", host))
			last := change{}
			for _, c := range order {
				if rapid.Bool().Draw(t, "by document") {
					if _, err := l.Apply(doc(c.revision, callerSection("a", c.edition, c.rate))); err != nil {
						t.Fatal(err)
					}
				} else if _, err := l.MergeText(c.text()); err != nil {
					t.Fatal(err)
				}
				now := activeVersion(l)
				if supersedes(last, now) {
					t.Fatalf("host %d: version %v was replaced by the older %v", host, last, now)
				}
				last = now
			}
			if last != want {
				t.Fatalf("host %d: active version %v, want %v", host, last, want)
			}
			digests = append(digests, l.Digest())
		}
		if digests[0] != digests[1] || digests[0] != digests[2] {
			t.Fatalf("digests differ: %x", digests)
		}
	})
}

// TestExchangeRepairsLoss guards against an exchange that leaves differences. Each
// host starts with a random part of the sections, as after lost messages; one
// exchange in each direction must make both ledgers equal.
func TestExchangeRepairsLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*config.Ledger{config.NewLedger(), config.NewLedger()}
		for i := range rapid.IntRange(1, 30).Draw(t, "sections") {
			c := callerSection(fmt.Sprint("s", i%20), 1+i/20, i+1)
			for _, l := range hosts {
				if rapid.Bool().Draw(t, "delivered") {
					// Hosts may first see a section at different revisions.
					seen := i + 1 + rapid.IntRange(0, 2).Draw(t, "seen late")
					_, _ = l.Apply(doc(core.Revision(seen), c))
				}
			}
		}
		for i, l := range hosts {
			for _, v := range hosts[1-i].Differing(l.Digests()) {
				if _, err := l.MergeText(core.SectionText{Revision: v.Revision(), Text: v.Section().Text()}); err != nil {
					t.Fatal(err)
				}
			}
		}
		a, b := hosts[0].Versions(), hosts[1].Versions()
		if len(a) != len(b) || hosts[0].Digest() != hosts[1].Digest() {
			t.Fatalf("still different: %d and %d sections", len(a), len(b))
		}
		for i, v := range a {
			if v.Revision() != b[i].Revision() || v.Section().Hash() != b[i].Section().Hash() {
				t.Fatalf("%s: revisions %d and %d", v.Section().Key(), v.Revision(), b[i].Revision())
			}
		}
	})
}

// TestConcurrentOperatorsAndStaleService guards against an accepted change that is
// reverted. Two operators edit the whole document from copies that may be old, and
// the configuration service may serve any earlier revision. A change is accepted if
// its revision is the first with its edition and no earlier revision had a higher
// edition.
func TestConcurrentOperatorsAndStaleService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []core.Document
		copies := []int{0, 0} // edition in each operator's copy
		accepted := change{}
		l := config.NewLedger()
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			op := rapid.IntRange(0, 1).Draw(t, "operator")
			if rapid.Bool().Draw(t, "fetches first") {
				copies[op] = max(copies[0], copies[1])
			}
			copies[op]++
			c := change{edition: copies[op], revision: core.Revision(i + 1), rate: i + 1}
			history = append(history, doc(c.revision, callerSection("a", c.edition, c.rate)))
			if c.edition > accepted.edition {
				accepted = c
			}
			// The host reads the newest document, then some earlier ones.
			applyDocument(t, l, history[i])
			for range rapid.IntRange(0, 3).Draw(t, "stale reads") {
				applyDocument(t, l, history[rapid.IntRange(0, i).Draw(t, "stale revision")])
			}
			if got := activeVersion(l); got != accepted {
				t.Fatalf("step %d: active version %v, accepted %v", i, got, accepted)
			}
			refused := len(l.Refused()) > 0
			if refused != (c != accepted) {
				t.Fatalf("step %d: refusal reported: %v, for %v, accepted %v", i, refused, c, accepted)
			}
		}
	})
}

func applyDocument(t *rapid.T, l *config.Ledger, d core.Document) {
	if _, err := l.Apply(d); err != nil {
		t.Fatal(err)
	}
}
