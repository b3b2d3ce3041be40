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

// floodingExchange answers each pull with the given number of chunks of one section each.
type floodingExchange struct {
	core.Exchange
	chunks int
}

func (f floodingExchange) Sections(_ context.Context, _ core.Host, _ []uint64, sink func([]core.SectionText)) (core.SectionsState, error) {
	for i := range f.chunks {
		text := fmt.Sprintf("kind: caller\nname: c%d\nteam: t\nedition: 1\nservices: [s]\n", i)
		sink([]core.SectionText{{Revision: 1, Text: []byte(text)}})
	}
	return core.SectionsState{Ready: true, HasDocument: true}, nil
}

// Guards against a faulty host that sends chunks without end, and against an aborted
// exchange that is counted as a complete document.
func TestPullIsBounded(t *testing.T) {
	for chunks, want := range map[int]error{maxChunks: nil, maxChunks + 3: ErrTooManyChunks} {
		self := core.NewHost("a", "x", "10.0.0.1:1")
		a, err := New(Deps{
			Self: self, Detector: member.New(self, 1, nil), Ledger: config.NewLedger(),
			Exchange: floodingExchange{chunks: chunks}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		_, err = a.pullSections(t.Context(), core.NewHost("b", "x", "10.0.0.2:1"))
		if !errors.Is(err, want) || a.Ledger.HasDocument() != (want == nil) {
			t.Errorf("%d chunks: error %v, complete document %v", chunks, err, a.Ledger.HasDocument())
		}
		if got := len(a.Ledger.Versions()); got != maxChunks {
			t.Errorf("%d chunks: %d sections merged", chunks, got)
		}
	}
}

// silentPlatform is a platform whose watches never return a document.
type silentPlatform struct{ core.Platform }

func (silentPlatform) Document(ctx context.Context, _ core.Revision) (core.Document, error) {
	<-ctx.Done()
	return core.Document{}, ctx.Err()
}

// Guards against a reader that keeps watching for a revision that it has already received
// from another host, and then reads the whole document although other hosts are the
// readers.
func TestWatchEndsWhenRevisionChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := core.NewHost("a", "x", "10.0.0.1:1")
		a, err := New(Deps{
			Self: self, Detector: member.New(self, 1, nil), Ledger: config.NewLedger(),
			Platform: silentPlatform{}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		epoch := a.currentEpoch()
		go func() {
			_, err := a.readDocument(t.Context(), epoch)
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
