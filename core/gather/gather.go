// Package gather assembles the answer to a query over many shards from the
// parts of its shards: the greatest records of all parts, and which shards are
// in. It owns no time; the caller decides when to stop waiting.
//
// # Usage
//
//	q := gather.New(20, 5, 0.75)
//	q.Add(3, stamp, body)
//	if q.Complete() || closing && q.Enough() {
//		answer(q.Stamps(), q.Missing(), q.Body())
//	}
package gather

import (
	"bytes"
	"math"
	"slices"
)

// RecordBytes is the size of one record. A shorter remainder of a part is not a
// record.
const RecordBytes = 16

// ratioSlack keeps the rounding of a decimal ratio from asking for one shard too
// many.
const ratioSlack = 1e-9

type state uint8

const (
	pending state = iota
	included
	lost
)

// Query is the answer to one query while its parts arrive. It is not safe for
// concurrent use.
type Query struct {
	topK    int
	need    int
	states  []state
	in      int
	lost    int
	stamps  []string
	records [][RecordBytes]byte // greatest first, at most topK
}

// New returns a query over a number of shards that wants the topK greatest
// records and at least minRatio of the shards.
func New(shards, topK int, minRatio float64) *Query {
	need := int(math.Ceil(minRatio*float64(shards) - ratioSlack))
	return &Query{
		topK:    topK,
		need:    max(1, need),
		states:  make([]state, shards),
		stamps:  make([]string, 0, shards),
		records: make([][RecordBytes]byte, 0, max(0, topK)),
	}
}

// Add includes the part of a shard. A second part of the same shard and a stamp
// that is already in are ignored, since an answer names each part once.
func (q *Query) Add(shard int, stamp string, body []byte) bool {
	if !q.Addable(shard, stamp) {
		return false
	}
	if q.states[shard] == lost {
		q.lost--
	}
	q.states[shard] = included
	q.in++
	q.stamps = append(q.stamps, stamp)
	q.AddRecords(body)
	return true
}

// Addable reports whether Add would include a part.
func (q *Query) Addable(shard int, stamp string) bool {
	return q.states[shard] != included && !slices.Contains(q.stamps, stamp)
}

// AddRecords merges records of parts that were added without a body.
func (q *Query) AddRecords(body []byte) {
	for len(body) >= RecordBytes {
		q.insert([RecordBytes]byte(body[:RecordBytes]))
		body = body[RecordBytes:]
	}
}

func (q *Query) insert(r [RecordBytes]byte) {
	if len(q.records) == q.topK {
		if q.topK == 0 || bytes.Compare(r[:], q.records[q.topK-1][:]) <= 0 {
			return
		}
		q.records = q.records[:q.topK-1]
	}
	at, _ := slices.BinarySearchFunc(q.records, r, func(have, want [RecordBytes]byte) int {
		return bytes.Compare(want[:], have[:])
	})
	q.records = slices.Insert(q.records, at, r)
}

// Lose says that no part of a shard will come.
func (q *Query) Lose(shard int) {
	if q.states[shard] == pending {
		q.states[shard] = lost
		q.lost++
	}
}

// Waiting reports whether the part of a shard may still come.
func (q *Query) Waiting(shard int) bool { return q.states[shard] == pending }

// Included reports whether the part of a shard is in.
func (q *Query) Included(shard int) bool { return q.states[shard] == included }

// Settled reports whether no part is awaited any more.
func (q *Query) Settled() bool { return q.in+q.lost == len(q.states) }

// Enough reports whether the parts that are in make an answer.
func (q *Query) Enough() bool { return q.in >= q.need }

// EnoughWith reports whether they would with a number of further parts.
func (q *Query) EnoughWith(parts int) bool { return q.in+parts >= q.need }

// Possible reports whether the awaited parts could still make an answer.
func (q *Query) Possible() bool { return len(q.states)-q.lost >= q.need }

// In returns the number of parts that are in.
func (q *Query) In() int { return q.in }

// Missing returns the number of shards that are not in.
func (q *Query) Missing() int { return len(q.states) - q.in }

// Stamps returns the stamps of the parts that are in.
func (q *Query) Stamps() []string { return q.stamps }

// Body returns the greatest records of the parts that are in, greatest first.
func (q *Query) Body() []byte {
	body := make([]byte, 0, len(q.records)*RecordBytes)
	for i := range q.records {
		body = append(body, q.records[i][:]...)
	}
	return body
}
