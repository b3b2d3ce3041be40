package client

import "sync/atomic"

// maxInFlightBytes bounds the requests that are in flight to one instance: a replica holds
// them in its memory while they wait. It is four of the largest bodies that the routing
// documents of all deployments allow.
const maxInFlightBytes = 1 << 20

// keptHeadBytes is the largest buffer that a connection keeps for the head of its next
// request.
const keptHeadBytes = 8 << 10

// flight counts the bytes of the requests that are in flight to one instance.
type flight struct{ bytes atomic.Int64 }

// reserve reserves n bytes, or returns false if that would exceed the limit. A single request
// is always allowed.
func (f *flight) reserve(n int64) bool {
	if sum := f.bytes.Add(n); sum <= maxInFlightBytes || sum == n {
		return true
	}
	f.bytes.Add(-n)
	return false
}

func (f *flight) release(n int64) { f.bytes.Add(-n) }

// size returns the number of bytes that a request has at least.
func (r *Request) size() int {
	return len(r.URI) + len(r.Header) + len(r.Body)
}
