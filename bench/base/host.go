package base

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/admit"
	"oriolebarrow/core/order"
	"oriolebarrow/core/snaps"
	"oriolebarrow/io/caller"
	"oriolebarrow/io/entry"
)

const headerTimeout = 5 * time.Second

// Host serves callers through the product's entry path with a baseline owner.
type Host struct {
	entry   *entry.Entry
	handler *caller.Handler
}

// NewHost returns a host that owns every group in its own view.
func NewHost(id core.HostID, settings core.Settings, owner core.GroupOwner) *Host {
	tokens := order.New(id, 1, order.Options{Max: 1, Lifetime: time.Minute}, rand.Reader)
	e := entry.New(entry.Parts{
		Self:        id,
		Incarnation: 1,
		Settings:    settings,
		Placer:      alone{id},
		Table:       snaps.New(),
		Views:       alone{id},
		Local:       owner,
		Tokens:      tokens,
		Log:         slog.New(slog.DiscardHandler),
	})
	return &Host{entry: e, handler: caller.New(caller.Parts{
		Requests: e,
		Settings: settings,
		Admitter: admit.New(),
		Ready:    func() bool { return true },
		Lifetime: time.Minute,
	})}
}

// Run serves callers until ctx ends.
func (h *Host) Run(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return caller.Serve(ctx, s, func() error { return s.Serve(l) }) })
	group.Go(func() error { return h.entry.Run(ctx) })
	return group.Wait()
}

// alone is the placement and the view of a host that knows no other host.
type alone struct{ id core.HostID }

func (a alone) OwnerSet(core.View, core.ServiceName) []core.HostID { return []core.HostID{a.id} }

func (a alone) Owner(core.View, core.ServiceName, core.GroupID) (owner, standby core.HostID) {
	return a.id, ""
}

func (a alone) Readers(core.View, core.DataCentre, core.Revision, uint64) []core.HostID {
	return []core.HostID{a.id}
}

func (a alone) View(time.Time) core.View {
	return core.NewView(1, []core.Host{core.NewHost(a.id, "local", "")})
}

func (a alone) MarkDown(time.Time, core.HostID) {}
