package soak

import (
	"fmt"
	"net/http"
)

// replicaSpoils is a fault of a replica: heads of its responses don't tell where the body ends.
const replicaSpoils = "spoils_heads"

// spoiltHeads are the ends of such heads, with what follows them. In each of them, %[1]d is the
// length of the body, %[2]s the body in chunks, and %[3]s the body.
var spoiltHeads = []string{
	"Transfer-Encodinh: chunked\r\nKeep-Alive: timeout=9\r\n\r\n%[2]s",
	"Content-Length: -0\r\n\r\n%[3]s",
	"Content-Length: +1\r\n\r\n%[3]s",
	"Content-Length: 1\r\n\r\n%[3]s",
	"Content-Length: %[1]d\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	"Content-Length: 1\r\nno field\r\n\r\n%[3]s",
	"Content-Length: 1\r\nX\x01Y: z\r\n\r\n%[3]s",
}

// sendSpoilt sends a response with a spoilt head, and closes the connection.
func (r *replica) sendSpoilt(w http.ResponseWriter, body []byte) {
	h := w.Header()
	id, stamp := h.Get(r.names.RequestID), h.Get(r.names.Stamp)
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the host closed the connection
	}
	defer func() { _ = c.Close() }()
	end := spoiltHeads[r.spoilt.Add(1)%uint64(len(spoiltHeads))]
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	// A write fails if the host has closed the connection.
	_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", r.names.RequestID, id, r.names.Stamp, stamp)
	_, _ = fmt.Fprintf(rw, end, len(body), chunks, body)
	_ = rw.Flush()
}
