package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
)

// flood answers each pull of sections with chunks of one section.
type flood struct {
	core.Exchange
	chunks int
}

func (f flood) Sections(_ context.Context, _ core.Host, _ []uint64, sink func([]core.SectionText)) (core.SectionsNews, error) {
	for i := range f.chunks {
		text := fmt.Sprintf("kind: caller\nname: c%d\nteam: t\nedition: 1\nservices: [s]\n", i)
		sink([]core.SectionText{{Revision: 1, Text: []byte(text)}})
	}
	return core.SectionsNews{Ready: true, HasDocument: true}, nil
}

// Guards against a faulty host that sends without end, and against an exchange
// that was cut short and counts as a whole document.
func TestPullIsBounded(t *testing.T) {
	for chunks, want := range map[int]error{maxChunks: nil, maxChunks + 3: ErrTooMuch} {
		self := core.NewHost("a", "x", "10.0.0.1:1")
		a, err := New(Parts{
			Self: self, Detector: member.New(self, 1, nil), Ledger: config.NewLedger(),
			Exchange: flood{chunks: chunks}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		_, err = a.pullSections(t.Context(), core.NewHost("b", "x", "10.0.0.2:1"))
		if !errors.Is(err, want) || a.Ledger.HasDocument() != (want == nil) {
			t.Errorf("%d chunks: %v, document %v", chunks, err, a.Ledger.HasDocument())
		}
		if got := len(a.Ledger.Versions()); got != maxChunks {
			t.Errorf("%d chunks: %d sections taken", chunks, got)
		}
	}
}

// silent is a platform without news.
type silent struct{ core.Platform }

func (silent) Document(ctx context.Context, _ core.Revision) (core.Document, error) {
	<-ctx.Done()
	return core.Document{}, ctx.Err()
}

// Guards against a reader that waits on for a revision that it has from a peer,
// and then takes the whole document although the duty has moved.
func TestWatchEndsWhenRevisionMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := core.NewHost("a", "x", "10.0.0.1:1")
		a, err := New(Parts{
			Self: self, Detector: member.New(self, 1, nil), Ledger: config.NewLedger(),
			Platform: silent{}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		d := a.onDuty()
		go func() {
			_, err := a.readDocument(t.Context(), d)
			ended <- err
		}()
		synctest.Wait()
		if _, err := a.Ledger.Apply(core.Document{Revision: 1, Text: []byte("kind: end\n")}); err != nil {
			t.Fatal(err)
		}
		a.setStatus()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("watch ended by %v", err)
		}
	})
}
