// Package gather assembles the answer to a query over many shards from the parts
// that the shards return: the greatest records of all parts, and which shards are
// included. It reads no clock; the code that uses it decides when to stop waiting.
//
// # Usage
//
//	q := gather.New(20, 5, 0.75)
//	q.Add(3, stamp, body)
//	if q.Settled() || closing && q.Enough() {
//		answer(q.Stamps(), q.Missing(), q.Body())
//	}
package gather

import (
	"bytes"
	"math"
	"slices"
)

// RecordBytes is the size of a record. A shorter remainder at the end of a part is
// ignored.
const RecordBytes = 16

// ratioSlack absorbs rounding errors of decimal ratios, which could otherwise raise
// the minimum by one shard.
const ratioSlack = 1e-9

// state is the state of a shard's part.
type state uint8

const (
	pending state = iota
	included
	lost // no longer awaited
)

// Query collects the parts of the answer to one query. It is not safe for
// concurrent use.
type Query struct {
	topK          int
	minParts      int     // parts that an answer must include
	states        []state // by shard
	includedCount int
	lostCount     int
	stamps        []string            // signatures of the included parts by their replicas
	records       [][RecordBytes]byte // greatest first, at most topK
}

// New returns a query over a number of shards. Its answer contains the topK greatest
// records and must include at least the share minRatio of the shards.
func New(shards, topK int, minRatio float64) *Query {
	minParts := int(math.Ceil(minRatio*float64(shards) - ratioSlack))
	return &Query{
		topK:     topK,
		minParts: max(1, minParts),
		states:   make([]state, shards),
		stamps:   make([]string, 0, shards),
		records:  make([][RecordBytes]byte, 0, max(0, topK)),
	}
}

// Add includes the part of a shard and reports whether it did. It ignores a second
// part of a shard and a part whose stamp is included already, since an answer names
// each part once. It accepts the part of a shard that was marked as lost.
func (q *Query) Add(shard int, stamp string, body []byte) bool {
	if !q.CanAdd(shard, stamp) {
		return false
	}
	if q.states[shard] == lost {
		q.lostCount--
	}
	q.states[shard] = included
	q.includedCount++
	q.stamps = append(q.stamps, stamp)
	q.AddRecords(body)
	return true
}

// CanAdd reports whether Add would include the part of a shard with this stamp.
func (q *Query) CanAdd(shard int, stamp string) bool {
	return q.states[shard] != included && !slices.Contains(q.stamps, stamp)
}

// AddRecords merges the records of parts that are added without a body.
func (q *Query) AddRecords(body []byte) {
	for len(body) >= RecordBytes {
		q.insert([RecordBytes]byte(body[:RecordBytes]))
		body = body[RecordBytes:]
	}
}

// insert adds a record if it is among the topK greatest.
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

// MarkLost marks the part of a shard as no longer awaited. It has no effect on an
// included part.
func (q *Query) MarkLost(shard int) {
	if q.states[shard] == pending {
		q.states[shard] = lost
		q.lostCount++
	}
}

// Pending reports whether the part of a shard is still awaited.
func (q *Query) Pending(shard int) bool { return q.states[shard] == pending }

// Included reports whether the part of a shard is included.
func (q *Query) Included(shard int) bool { return q.states[shard] == included }

// Settled reports whether every part is included or lost.
func (q *Query) Settled() bool { return q.includedCount+q.lostCount == len(q.states) }

// Enough reports whether the included parts reach the minimum for an answer.
func (q *Query) Enough() bool { return q.includedCount >= q.minParts }

// EnoughWith reports whether a number of further parts would reach the minimum for
// an answer.
func (q *Query) EnoughWith(parts int) bool { return q.includedCount+parts >= q.minParts }

// EnoughPossible reports whether the included and awaited parts together reach the
// minimum for an answer.
func (q *Query) EnoughPossible() bool { return len(q.states)-q.lostCount >= q.minParts }

// Lost reports whether the part of a shard is lost.
func (q *Query) Lost(shard int) bool { return q.states[shard] == lost }

// Excess returns how many of the lost parts would have to be found so that the minimum for
// an answer is possible; it is not above 0 while EnoughPossible.
func (q *Query) Excess() int { return q.lostCount - (len(q.states) - q.minParts) }

// IncludedCount returns the number of included parts.
func (q *Query) IncludedCount() int { return q.includedCount }

// Missing returns the number of shards whose part is not included.
func (q *Query) Missing() int { return len(q.states) - q.includedCount }

// Stamps returns the stamps of the included parts.
func (q *Query) Stamps() []string { return q.stamps }

// Body returns the topK greatest records of the included parts, greatest first.
func (q *Query) Body() []byte {
	body := make([]byte, 0, len(q.records)*RecordBytes)
	for i := range q.records {
		body = append(body, q.records[i][:]...)
	}
	return body
}
