package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

var _ core.Exchange = (*Client)(nil)

// maxQueuedReplies limits the received replies of one exchange that are not yet
// processed. The exchange fails if the other host sends more.
const maxQueuedReplies = 64

// Sections sends digests of this host's sections. It calls sink with each chunk of
// those sections of the other host that differ.
func (c *Client) Sections(ctx context.Context, h core.Host, buckets []uint64, sink func([]core.SectionText)) (core.SectionsState, error) {
	packer, err := c.packer()
	if err != nil {
		return core.SectionsState{}, err
	}
	get := &wire.Frame{Body: &wire.Frame_SectionsGet{SectionsGet: &wire.SectionsGet{Buckets: buckets}}}
	var state core.SectionsState
	err = c.forEachReply(ctx, h, get, func(f *wire.Frame) error {
		body, ok := f.Body.(*wire.Frame_SectionsReply)
		if !ok {
			return errors.Errorf("unexpected reply %T", f.Body)
		}
		c.meter.Count("gossip_exchange_received_bytes", int64(len(body.SectionsReply.Compressed)))
		texts, err := SectionsFromWire(packer, body.SectionsReply)
		if err != nil {
			return err
		}
		state = core.SectionsState{Ready: body.SectionsReply.Ready, HasDocument: body.SectionsReply.HasDocument}
		sink(texts)
		return nil
	})
	return state, err
}

// Hosts sends digests of this host's host list and returns the part of the other
// host's list that differs.
func (c *Client) Hosts(ctx context.Context, h core.Host, buckets []uint64) (core.HostsUpdate, error) {
	packer, err := c.packer()
	if err != nil {
		return core.HostsUpdate{}, err
	}
	get := &wire.Frame{Body: &wire.Frame_HostsGet{HostsGet: &wire.HostsGet{Buckets: buckets}}}
	var update core.HostsUpdate
	err = c.forEachReply(ctx, h, get, func(f *wire.Frame) error {
		body, ok := f.Body.(*wire.Frame_HostsReply)
		if !ok {
			return errors.Errorf("unexpected reply %T", f.Body)
		}
		c.meter.Count("gossip_exchange_received_bytes", int64(len(body.HostsReply.Compressed)))
		var err error
		update, err = HostsFromWire(packer, body.HostsReply)
		return err
	})
	return update, err
}

// States returns the states of all hosts as another host knows them.
func (c *Client) States(ctx context.Context, h core.Host) ([]core.PeerUpdate, error) {
	packer, err := c.packer()
	if err != nil {
		return nil, err
	}
	get := &wire.Frame{Body: &wire.Frame_StatesGet{StatesGet: &wire.StatesGet{}}}
	var states []core.PeerUpdate
	err = c.forEachReply(ctx, h, get, func(f *wire.Frame) error {
		body, ok := f.Body.(*wire.Frame_StatesReply)
		if !ok {
			return errors.Errorf("unexpected reply %T", f.Body)
		}
		var err error
		states, err = StatesFromWire(packer, body.StatesReply)
		return err
	})
	return states, err
}

// forEachReply sends a request and calls process with each reply up to the last
// one.
func (c *Client) forEachReply(ctx context.Context, h core.Host, f *wire.Frame, process func(*wire.Frame) error) error {
	l, err := c.linkTo(ctx, h)
	if err != nil {
		return ownerLostError("exchange", h, err)
	}
	frames := make(chan *wire.Frame, maxQueuedReplies)
	closed := make(chan error, 2)
	x, err := l.start(ctx, f, time.Time{}, callbacks{
		onFrame: func(f *wire.Frame) {
			select {
			case frames <- f:
			default:
				select {
				case closed <- errors.New("too many unprocessed replies"):
				default: // only the first error is returned
				}
			}
		},
		onClosed: func(err error) { closed <- err },
	})
	if err != nil {
		return ownerLostError("exchange", h, err)
	}
	defer x.end()
	for {
		select {
		case f := <-frames:
			if err := process(f); err != nil {
				return ownerLostError("exchange", h, err)
			}
			if f.Last {
				return nil
			}
		case err := <-closed:
			return ownerLostError("exchange", h, err)
		case <-ctx.Done():
			return ownerLostError("exchange", h, ctx.Err())
		}
	}
}

// SectionsFromWire decompresses and converts one chunk of sections.
func SectionsFromWire(p *wire.Packer, w *wire.SectionsReply) ([]core.SectionText, error) {
	set := new(wire.SectionSet)
	if err := p.Unpack(w.Compressed, set); err != nil {
		return nil, err
	}
	out := make([]core.SectionText, 0, len(set.Sections))
	for _, s := range set.Sections {
		out = append(out, core.SectionText{Revision: core.Revision(s.Revision), Text: s.Text})
	}
	return out, nil
}

// HostsFromWire decompresses and converts a part of a host list.
func HostsFromWire(p *wire.Packer, w *wire.HostsReply) (core.HostsUpdate, error) {
	set := new(wire.HostSet)
	if err := p.Unpack(w.Compressed, set); err != nil {
		return core.HostsUpdate{}, err
	}
	update := core.HostsUpdate{Version: w.Version, Buckets: make(map[int][]core.HostEntry)}
	for _, b := range set.Buckets {
		entries := make([]core.HostEntry, 0, len(b.Hosts))
		for _, e := range b.Hosts {
			entries = append(entries, core.HostEntry{
				Host:    core.NewHost(core.HostID(e.Host), core.DataCentre(e.DataCentre), e.Address),
				Leaving: e.Leaving,
			})
		}
		update.Buckets[int(b.Index)] = entries
	}
	return update, nil
}

// StatesFromWire decompresses and converts the states of all hosts.
func StatesFromWire(p *wire.Packer, w *wire.StatesReply) ([]core.PeerUpdate, error) {
	set := new(wire.StateSet)
	if err := p.Unpack(w.Compressed, set); err != nil {
		return nil, err
	}
	out := make([]core.PeerUpdate, 0, len(set.Updates))
	for _, u := range set.Updates {
		state := core.PeerState(u.State)
		if state < core.PeerJoining || state > core.PeerDead {
			return nil, errors.Errorf("unknown state %d of host %s", u.State, u.Host)
		}
		out = append(out, core.PeerUpdate{
			Host:        core.NewHost(core.HostID(u.Host), core.DataCentre(u.DataCentre), u.Address),
			Incarnation: core.Incarnation(u.Incarnation),
			State:       state,
		})
	}
	return out, nil
}
