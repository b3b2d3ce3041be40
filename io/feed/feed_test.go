package feed_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/feed"
)

// source answers each call with the given update and error, and keeps the last question.
type source struct {
	update core.FeedUpdate
	err    error
	era    core.Era
	after  core.Revision
	wait   time.Duration
}

func (s *source) Follow(_ context.Context, era core.Era, after core.Revision, wait time.Duration) (core.FeedUpdate, error) {
	s.era, s.after, s.wait = era, after, wait
	return s.update, s.err
}

// TestFollow guards against parts of a question or an answer that are lost between two hosts:
// an era, an evacuation, or the reason why there are no changes.
func TestFollow(t *testing.T) {
	s := new(source)
	server, err := feed.NewServer(s)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	c, err := feed.New(feed.Deps{Self: core.NewHost("host-2", "a", "127.0.0.1:1")})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		c.Close()
		cancel()
		<-done
	}()
	h := core.NewHost("host-1", "a", l.Addr().String())
	s.update = core.FeedUpdate{
		Update: core.DirectoryUpdate{Era: 3, Revision: 9, Items: []core.DirectoryItem{
			core.EvacuationItem(8, core.Evacuation{DataCentre: "b"}),
			core.EvacuationItem(9, core.Evacuation{DataCentre: "c", Ended: true}),
			{ID: "i-1", Revision: 7, Instance: &core.Instance{ID: "i-1", Born: 4, Sequence: 6}},
			{Revision: 5, Routing: &core.Routing{Version: 2}, RoutingEra: 2},
		}},
		Age: 40 * time.Millisecond, OutageGrace: 2 * time.Second,
	}
	got, err := c.Follow(t.Context(), h, 2, 7, 800*time.Millisecond)
	if diff := cmp.Diff(s.update, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	if s.era != 2 || s.after != 7 || s.wait != 800*time.Millisecond {
		t.Errorf("asked for era %d, revision %d, wait %v", s.era, s.after, s.wait)
	}
	for _, want := range []error{core.ErrHistoryGone, core.ErrLowerEra, nil} {
		s.err = want
		if _, err := c.Follow(t.Context(), h, 4, 7, 0); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}
