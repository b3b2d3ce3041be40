// Package usage counts the bytes that a host exchanges over the network, by purpose and by
// whether the other end is in the host's data centre. Traffic between data centres is what
// operators pay for, and the counters show which part of the host causes it.
//
// The side that opens a connection counts its bytes in both directions. Packets are counted
// by their sender.
//
// # Usage
//
//	c := usage.New(meter, "mixco", locate)
//	dial := c.Dial(usage.Tasks, net.Dialer{}.DialContext)
//	packets := c.Packets(usage.Membership, conn)
package usage

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// Purpose is what traffic is for. It is part of the names of its counters.
type Purpose string

// Purposes.
const (
	Replicas   Purpose = "replicas"   // calls to replicas and health probes
	Tasks      Purpose = "tasks"      // parts of queries that other hosts execute
	Feed       Purpose = "feed"       // content of the directory from other hosts
	Membership Purpose = "membership" // packets of the failure detector
)

// Locate returns the data centre of a host or a replica by its address, and "" if it is
// not known.
type Locate func(address string) core.DataCentre

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Counter counts the traffic of one host. It is safe for concurrent use.
type Counter struct {
	meter  core.Meter
	local  core.DataCentre
	locate Locate
}

// New returns a counter for a host in the data centre local.
func New(m core.Meter, local core.DataCentre, locate Locate) *Counter {
	return &Counter{meter: core.MeterOr(m), local: local, locate: locate}
}

// Dial returns a dial function whose connections are counted.
func (c *Counter) Dial(p Purpose, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, meter: c.meter, name: c.name(p, address)}, nil
	}
}

// Packets returns a connection that counts the packets which it sends.
func (c *Counter) Packets(p Purpose, raw net.PacketConn) net.PacketConn {
	return &packets{PacketConn: raw, counter: c, purpose: p}
}

// name returns the name of the counter for traffic with an address.
func (c *Counter) name(p Purpose, address string) string {
	scope := "_other_dc_bytes"
	switch c.locate(address) {
	case c.local:
		scope = "_same_dc_bytes"
	case "":
		scope = "_unknown_dc_bytes"
	}
	name := "network_" + string(p) + scope
	return name
}

// conn counts the bytes of a connection in both directions.
type conn struct {
	net.Conn
	meter core.Meter
	name  string
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Count(c.name, int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Count(c.name, int64(n))
	return n, err
}

// packets counts the packets that are sent.
type packets struct {
	net.PacketConn
	counter *Counter
	purpose Purpose
}

// WriteTo implements net.PacketConn.
func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.counter.meter.Count(p.counter.name(p.purpose, to.String()), int64(n))
	return n, errors.WithStack(err)
}
