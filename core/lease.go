package core

import "context"

// Lease accounts for the memory that one request holds on this host. The memory stays reserved
// until the request and everything that still refers to its bytes have released the lease. A
// Lease is safe for concurrent use.
type Lease interface {
	// Charge reserves n more bytes, which must happen before they are allocated. It returns
	// false if there is no room for them.
	Charge(n int) bool
	// Refund returns n bytes before the lease ends.
	Refund(n int)
	// Hold adds a reference to the lease, and Release removes one. After the last one, no
	// bytes are reserved, and Charge returns false.
	Hold()
	Release()
}

// NoLease is a Lease without a limit.
type NoLease struct{}

var _ Lease = NoLease{}

// Charge implements Lease.
func (NoLease) Charge(int) bool { return true }

// Refund implements Lease.
func (NoLease) Refund(int) {}

// Hold implements Lease.
func (NoLease) Hold() {}

// Release implements Lease.
func (NoLease) Release() {}

type leaseKey struct{}

// WithLease returns a context for a request with the given lease.
func WithLease(ctx context.Context, l Lease) context.Context {
	return context.WithValue(ctx, leaseKey{}, l)
}

// LeaseOf returns the lease of a request, or NoLease.
func LeaseOf(ctx context.Context) Lease {
	if l, ok := ctx.Value(leaseKey{}).(Lease); ok {
		return l
	}
	return NoLease{}
}
