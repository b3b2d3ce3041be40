package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

var _ core.Exchange = (*Client)(nil)

// chunkQueue bounds the replies of one exchange that wait to be merged. A host
// that sends more at once ends the exchange.
const chunkQueue = 64

// Sections asks a host for the sections that differ from the digests.
func (c *Client) Sections(ctx context.Context, h core.Host, buckets []uint64, sink func([]core.SectionText)) (core.SectionsNews, error) {
	packer, err := c.packer()
	if err != nil {
		return core.SectionsNews{}, err
	}
	get := &wire.Frame{Body: &wire.Frame_SectionsGet{SectionsGet: &wire.SectionsGet{Buckets: buckets}}}
	var news core.SectionsNews
	err = c.stream(ctx, h, get, func(f *wire.Frame) error {
		body, ok := f.Body.(*wire.Frame_SectionsReply)
		if !ok {
			return errors.Errorf("unexpected reply %T", f.Body)
		}
		c.meter.Count("gossip_exchange_received_bytes", int64(len(body.SectionsReply.Compressed)))
		texts, err := SectionsFromWire(packer, body.SectionsReply)
		if err != nil {
			return err
		}
		news = core.SectionsNews{Ready: body.SectionsReply.Ready, HasDocument: body.SectionsReply.HasDocument}
		sink(texts)
		return nil
	})
	return news, err
}

// Hosts asks a host for the part of its host list that differs from the digests.
func (c *Client) Hosts(ctx context.Context, h core.Host, buckets []uint64) (core.HostsNews, error) {
	packer, err := c.packer()
	if err != nil {
		return core.HostsNews{}, err
	}
	get := &wire.Frame{Body: &wire.Frame_HostsGet{HostsGet: &wire.HostsGet{Buckets: buckets}}}
	var news core.HostsNews
	err = c.stream(ctx, h, get, func(f *wire.Frame) error {
		body, ok := f.Body.(*wire.Frame_HostsReply)
		if !ok {
			return errors.Errorf("unexpected reply %T", f.Body)
		}
		c.meter.Count("gossip_exchange_received_bytes", int64(len(body.HostsReply.Compressed)))
		var err error
		news, err = HostsFromWire(packer, body.HostsReply)
		return err
	})
	return news, err
}

// States asks a host for what it knows of all hosts.
func (c *Client) States(ctx context.Context, h core.Host) ([]core.PeerUpdate, error) {
	packer, err := c.packer()
	if err != nil {
		return nil, err
	}
	get := &wire.Frame{Body: &wire.Frame_StatesGet{StatesGet: &wire.StatesGet{}}}
	var states []core.PeerUpdate
	err = c.stream(ctx, h, get, func(f *wire.Frame) error {
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

// stream sends a request and calls take for each reply until the last one.
func (c *Client) stream(ctx context.Context, h core.Host, f *wire.Frame, take func(*wire.Frame) error) error {
	link, err := c.link(ctx, h)
	if err != nil {
		return lost("exchange", h, err)
	}
	frames := make(chan *wire.Frame, chunkQueue)
	closed := make(chan error, 2)
	p, err := link.call(ctx, f, time.Time{}, exchange{
		frame: func(f *wire.Frame) {
			select {
			case frames <- f:
			default:
				select {
				case closed <- errors.New("too many replies at once"):
				default: // the first reason is enough
				}
			}
		},
		closed: func(err error) { closed <- err },
	})
	if err != nil {
		return lost("exchange", h, err)
	}
	defer p.end()
	for {
		select {
		case f := <-frames:
			if err := take(f); err != nil {
				return lost("exchange", h, err)
			}
			if f.Last {
				return nil
			}
		case err := <-closed:
			return lost("exchange", h, err)
		case <-ctx.Done():
			return lost("exchange", h, ctx.Err())
		}
	}
}

// SectionsFromWire expands one chunk of sections.
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

// HostsFromWire expands a part of a host list.
func HostsFromWire(p *wire.Packer, w *wire.HostsReply) (core.HostsNews, error) {
	set := new(wire.HostSet)
	if err := p.Unpack(w.Compressed, set); err != nil {
		return core.HostsNews{}, err
	}
	news := core.HostsNews{Version: w.Version, Buckets: make(map[int][]core.HostEntry)}
	for _, b := range set.Buckets {
		entries := make([]core.HostEntry, 0, len(b.Hosts))
		for _, e := range b.Hosts {
			entries = append(entries, core.HostEntry{
				Host:    core.NewHost(core.HostID(e.Host), core.DataCentre(e.DataCentre), e.Address),
				Leaving: e.Leaving,
			})
		}
		news.Buckets[int(b.Index)] = entries
	}
	return news, nil
}

// StatesFromWire expands the states of all hosts.
func StatesFromWire(p *wire.Packer, w *wire.StatesReply) ([]core.PeerUpdate, error) {
	set := new(wire.StateSet)
	if err := p.Unpack(w.Compressed, set); err != nil {
		return nil, err
	}
	out := make([]core.PeerUpdate, 0, len(set.Updates))
	for _, u := range set.Updates {
		state := core.PeerState(u.State)
		if state < core.PeerJoining || state > core.PeerDead {
			return nil, errors.Errorf("unknown state %d of %s", u.State, u.Host)
		}
		out = append(out, core.PeerUpdate{
			Host:        core.NewHost(core.HostID(u.Host), core.DataCentre(u.DataCentre), u.Address),
			Incarnation: core.Incarnation(u.Incarnation),
			State:       state,
		})
	}
	return out, nil
}
