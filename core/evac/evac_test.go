package evac_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/evac"
)

func begin(r core.Revision, dc core.DataCentre) core.DirectoryItem {
	return core.EvacuationItem(r, core.Evacuation{DataCentre: dc})
}

func end(r core.Revision, dc core.DataCentre) core.DirectoryItem {
	return core.EvacuationItem(r, core.Evacuation{DataCentre: dc, Ended: true})
}

// TestActive guards against evacuations that are missed, outlive their key, or end because of
// an older change.
func TestActive(t *testing.T) {
	type items = []core.DirectoryItem
	list := func(i ...core.DirectoryItem) func(*evac.State) { return func(s *evac.State) { s.Replace(i) } }
	changes := func(i ...core.DirectoryItem) func(*evac.State) { return func(s *evac.State) { s.Apply(i) } }
	other := core.DirectoryItem{ID: "evacuate/a", Revision: 9}
	for _, c := range []struct {
		name  string
		steps []func(*evac.State)
		want  []core.DataCentre
	}{
		{name: "nothing"},
		{"in the list", []func(*evac.State){list(begin(3, "a"))}, []core.DataCentre{"a"}},
		{"begins", []func(*evac.State){list(), changes(begin(3, "a"))}, []core.DataCentre{"a"}},
		{"ends", []func(*evac.State){list(begin(3, "a")), changes(end(4, "a"))}, nil},
		{"two data centres, one ends", []func(*evac.State){changes(begin(3, "a"), begin(4, "b")), changes(end(5, "a"))}, []core.DataCentre{"b"}},
		{"begins and ends at once", []func(*evac.State){changes(begin(3, "a"), end(4, "a"))}, nil},
		{"ends and begins at once", []func(*evac.State){list(begin(3, "a")), changes(end(4, "a"), begin(5, "a"))}, []core.DataCentre{"a"}},
		{"written again", []func(*evac.State){changes(begin(3, "a")), changes(begin(4, "a")), changes(end(5, "a"))}, nil},
		{"missing in a later list", []func(*evac.State){changes(begin(3, "a"), begin(4, "b")), list(begin(4, "b"))}, []core.DataCentre{"b"}},
		{"older change after the list", []func(*evac.State){list(begin(6, "a")), changes(begin(4, "a"), end(5, "a"))}, []core.DataCentre{"a"}},
		{"older change after the end", []func(*evac.State){changes(begin(3, "a"), end(5, "a")), changes(begin(4, "a"))}, nil},
		{"instance with the ID of an evacuation", []func(*evac.State){changes(begin(3, "a")), changes(other)}, []core.DataCentre{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := evac.New()
			for _, step := range c.steps {
				step(s)
			}
			if got := s.Active(); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	var many items
	for r := range core.Revision(10000) {
		dc := core.DataCentre(rune('!' + r))
		many = append(many, begin(2*r, dc), end(2*r+1, dc))
	}
	s := evac.New()
	s.Apply(append(many, begin(30000, "a")))
	if got := s.Active(); !slices.Equal(got, []core.DataCentre{"a"}) {
		t.Errorf("after many evacuations: got %v, want [a]", got)
	}
}

// TestReaderConverges guards against a reader that ends with another set than the keys say, in
// any sequence of lists and watches. The pages of a list are read at different moments, so that
// the watch from the first page's revision repeats changes that the list contains.
func TestReaderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := []core.DataCentre{"a", "b", "c"}
		var changes []core.DirectoryItem
		s := evac.New()
		seen := 0 // changes up to the revision that the reader has
		write := func() {
			dc := rapid.SampledFrom(centres).Draw(t, "data_centre")
			changes = append(changes, core.EvacuationItem(core.Revision(len(changes)+1), core.Evacuation{DataCentre: dc, Ended: rapid.Bool().Draw(t, "ended")}))
		}
		present := func(dc core.DataCentre) (item core.DirectoryItem, ok bool) {
			for _, c := range changes {
				if c.Evacuation.DataCentre == dc {
					item, ok = c, !c.Evacuation.Ended
				}
			}
			return item, ok
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				upTo := rapid.IntRange(seen, len(changes)).Draw(t, "up_to")
				s.Apply(changes[seen:upTo])
				seen = upTo
			case 3:
				seen = len(changes)
				var list []core.DirectoryItem
				for _, dc := range centres {
					if item, ok := present(dc); ok {
						list = append(list, item)
					}
					if rapid.Bool().Draw(t, "written_between_pages") {
						write()
					}
				}
				s.Replace(list)
			}
		}
		s.Apply(changes[seen:])
		var want []core.DataCentre
		for _, dc := range centres {
			if _, ok := present(dc); ok {
				want = append(want, dc)
			}
		}
		if got := s.Active(); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestReturn guards against an evacuation that ends, or begins again, because the directory
// returned from an older copy, and against one that the keys no longer decide afterwards.
func TestReturn(t *testing.T) {
	now := time.Now()
	until := now.Add(2 * time.Second)
	type items = []core.DirectoryItem
	for _, c := range []struct {
		name    string
		before  items
		copied  items
		changes items // in the new era
		within  bool  // in force until the end of the grace period
		after   bool
	}{
		{"never", nil, nil, nil, false, false},
		{"lost", items{begin(9, "a")}, nil, nil, true, false},
		{"lost and written again", items{begin(9, "a")}, nil, items{begin(5, "a")}, true, true},
		{"lost, written and ended", items{begin(9, "a")}, nil, items{begin(5, "a"), end(6, "a")}, false, false},
		{"kept", items{begin(3, "a")}, items{begin(3, "a")}, nil, true, true},
		{"kept and ended", items{begin(3, "a")}, items{begin(3, "a")}, items{end(5, "a")}, false, false},
		{"end lost", items{begin(3, "a"), end(9, "a")}, items{begin(3, "a")}, nil, false, true},
		{"end lost and written again", items{begin(3, "a"), end(9, "a")}, items{begin(3, "a")}, items{end(5, "a")}, false, false},
		{"end lost, begun again", items{begin(3, "a"), end(9, "a")}, items{begin(3, "a")}, items{begin(5, "a")}, true, true},
		{"not known before", nil, items{begin(3, "a")}, nil, true, true},
		{"begin and end lost", items{begin(8, "a"), end(9, "a")}, nil, nil, false, false},
	} {
		for _, returns := range []int{1, 2} {
			t.Run(fmt.Sprint(c.name, ", ", returns, " returns"), func(t *testing.T) {
				s := evac.New()
				s.Apply(c.before)
				for i := range returns {
					s.Return(c.copied, until.Add(time.Duration(i)*time.Second))
				}
				end := until.Add(time.Duration(returns-1) * time.Second)
				s.Apply(c.changes)
				s.Expire(end.Add(-1))
				if got := len(s.Active()) > 0; got != c.within {
					t.Errorf("within the grace period: %v, want %v", got, c.within)
				}
				s.Expire(end)
				if got := len(s.Active()) > 0; got != c.after {
					t.Errorf("after the grace period: %v, want %v", got, c.after)
				}
			})
		}
	}
}
