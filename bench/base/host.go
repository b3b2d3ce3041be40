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

// Host is a host of a baseline. It serves callers with the product's caller
// interface and entry, but with a baseline owner.
type Host struct {
	entry   *entry.Entry
	handler *caller.Handler
}

// NewHost returns a host that is the only one in its view and so owns every group.
func NewHost(id core.HostID, settings core.Settings, owner core.GroupOwner) *Host {
	tokens := order.New(id, 1, order.Options{Max: 1, Lifetime: time.Minute}, rand.Reader)
	e := entry.New(entry.Deps{
		Self:        id,
		Incarnation: 1,
		Settings:    settings,
		Placer:      singleHost{id},
		Table:       snaps.New(),
		Views:       singleHost{id},
		Local:       owner,
		Tokens:      tokens,
		Log:         slog.New(slog.DiscardHandler),
	})
	return &Host{entry: e, handler: caller.New(caller.Deps{
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

// singleHost is the placement and the view of a host that knows no other host.
type singleHost struct{ id core.HostID }

func (s singleHost) OwnerSet(core.View, core.ServiceName) []core.HostID { return []core.HostID{s.id} }

func (s singleHost) Owner(core.View, core.ServiceName, core.GroupID) (owner, standby core.HostID) {
	return s.id, ""
}

func (s singleHost) Readers(core.View, core.DataCentre, core.Revision, uint64) []core.HostID {
	return []core.HostID{s.id}
}

func (s singleHost) View(time.Time) core.View {
	return core.NewView(1, []core.Host{core.NewHost(s.id, "local", "")})
}

func (s singleHost) MarkDown(time.Time, core.HostID) {}
