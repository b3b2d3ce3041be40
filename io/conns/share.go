package conns

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/quota"
)

const (
	// reservedDescriptors are left for files and for connections to the directory.
	reservedDescriptors = 200
	// memoryDivisor is the memory of the machine divided by the part of it that clients may
	// make the host hold. defaultBudget replaces it if the memory is not stated.
	memoryDivisor = 4
	defaultBudget = 64 << 20
	// smallListeners is how many listeners have the share Small, and linkDivisor the rest of the
	// descriptors divided by the part of it that is for connections to other hosts.
	smallListeners = 2
	linkDivisor    = 8
	// minConnections is the least share of a listener.
	minConnections = 8

	// smallHead limits the heads of requests for readiness, metrics and administration.
	smallHead        = 16 << 10
	smallHeadTimeout = 5 * time.Second
	smallTimeout     = 5 * time.Second
	smallIdleTimeout = time.Minute
)

// Limits are the limits of all listeners of a host. A nil *Limits has none.
type Limits struct {
	Budget   *quota.Budget
	Refusals *Refusals
	Shares   Shares

	leaseWaits atomic.Int64 // requests of other hosts that wait until others have given way
}

// NewLimits derives the limits from the memory of the machine in bytes and the descriptors
// that the process may open. 0 means that they are not known.
func NewLimits(memory int64, descriptors int, m core.Meter, log *slog.Logger) *Limits {
	bytes := memory / memoryDivisor
	if bytes <= 0 {
		bytes = defaultBudget
	}
	return &Limits{Budget: quota.New(bytes), Refusals: NewRefusals(m, log), Shares: Share(descriptors)}
}

// ReplicaConnections returns the number of connections to replicas that may be open; 0 means no
// limit.
func (l *Limits) ReplicaConnections() int {
	if l == nil {
		return 0
	}
	return l.Shares.Replicas
}

// resultDivisor is the budget divided by the bytes of the results of orders that a host keeps
// for repeated requests, in addition to the budget.
const resultDivisor = 4

// ResultBytes returns the bytes that the kept results of orders may have; 0 means no limit.
func (l *Limits) ResultBytes() int {
	if l == nil {
		return 0
	}
	return int(l.Budget.Limit() / resultDivisor)
}

// Shares are the connections that the listeners may have open; 0 means no limit.
type Shares struct {
	Callers int
	Hosts   int // of the listener for other hosts
	Tasks   int
	Small   int // each of those for readiness, metrics and administration
	// Replicas is not for a listener: it bounds the connections to replicas.
	Replicas int
}

// Share divides descriptors. What remains is for connections to other hosts.
func Share(descriptors int) Shares {
	if descriptors <= 0 {
		return Shares{}
	}
	free := max(0, descriptors-reservedDescriptors)
	part := func(divisor int) int { return max(minConnections, free/divisor) }
	s := Shares{Callers: part(2), Hosts: part(10), Tasks: part(10), Small: part(50)}
	rest := free - s.Callers - s.Hosts - s.Tasks - smallListeners*s.Small
	s.Replicas = max(minConnections, rest-rest/linkDivisor)
	return s
}

// ServeSmall serves a listener whose requests are small, like readiness checks, until ctx
// ends. It limits the connections, the heads, and the times of requests.
func (l *Limits) ServeSmall(ctx context.Context, name string, s *http.Server, listener net.Listener) error {
	o := Options{Listener: name, Head: func() HeadLimits {
		return HeadLimits{Bytes: smallHead + headSlack, Timeout: smallHeadTimeout}
	}}
	if l != nil {
		o.Connections, o.Budget, o.Refusals = l.Shares.Small, l.Budget, l.Refusals
	}
	set := NewLimited(o)
	s.ConnState = set.ConnState
	s.MaxHeaderBytes = smallHead
	setDefault(&s.ReadHeaderTimeout, smallHeadTimeout)
	setDefault(&s.ReadTimeout, smallTimeout)
	setDefault(&s.WriteTimeout, smallTimeout)
	setDefault(&s.IdleTimeout, smallIdleTimeout)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go set.Watch(ctx, func() time.Duration { return 0 })
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // a request that still runs gets no answer
	defer stop()
	return set.Serve(s, listener)
}

// headSlack is how far beyond its limit net/http reads a head.
const headSlack = 4 << 10

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
