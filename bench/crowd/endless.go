package crowd

import (
	"net/http"
	"strings"

	"oriolebarrow/core"
	"oriolebarrow/standin/flood"
	"oriolebarrow/standin/server"
)

// Last elements of the paths of requests that a faulty replica of gateway hosts answers with a
// head or a body without end.
const (
	endlessHead = "endless-head"
	endlessBody = "endless-body"
)

// Paths of such requests, at a single host and at a fleet.
const (
	HeadOrderPath = "/o/" + endlessHead
	BodyOrderPath = "/o/" + endlessBody
	HeadQueryPath = "/q/" + endlessHead
	BodyQueryPath = "/q/" + endlessBody
)

// floodBytes is how much of a response without end a host may accept before the replica closes
// the connection.
const floodBytes = 256 << 20

// answerEndless answers a request with a response without end if its path asks for one. It
// reports whether it did.
func answerEndless(w http.ResponseWriter, r *http.Request, names core.HeaderNames) bool {
	const head = "HTTP/1.1 200 OK\r\n"
	o := flood.Options{Max: floodBytes}
	switch {
	case strings.HasSuffix(r.URL.Path, endlessHead):
		flood.Head(head, o).Send(w)
	case strings.HasSuffix(r.URL.Path, endlessBody):
		flood.Body(head+names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\n"+names.Stamp+": s\r\n\r\n", o).Send(w)
	default:
		return false
	}
	return true
}

// SetFaults changes the faults of the backend servers of a fleet that StartServeFleet started.
func (f *Fleet) SetFaults(change func(*server.Faults)) { f.backends.UpdateFaults("", change) }
