package relay

import (
	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

const (
	// subrequestBytes is charged for each shard of a query: its state, its calls and their ends.
	subrequestBytes = 512
	// sharedHeadBytes is the size from which the calls of a request share one copy of its head.
	// Below it, each connection keeps a buffer of about this size.
	sharedHeadBytes = 4 << 10
)

// takeLease charges what the request needs beyond its body: its calls, and what all of them
// share. It returns false if there is no room for that.
func (j *job) takeLease(l core.Lease) bool {
	j.lease = l
	calls, shared := subrequestBytes*len(j.route.Gather), len(j.req.URI)+len(j.req.Header)
	if shared < sharedHeadBytes {
		shared = 0
	}
	if !l.Charge(calls + shared) {
		return false
	}
	if shared == 0 {
		return true
	}
	j.head = j.relay.Client.Head(&client.Request{
		ID: j.req.ID, Method: j.req.Method, URI: j.req.URI, Host: j.req.Host, Header: j.req.Header, Body: j.req.Body,
	})
	return true
}
