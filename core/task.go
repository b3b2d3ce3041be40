package core

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

// Task is the part of a query over many shards that another host executes.
type Task struct {
	Request      *TaskRequest  `json:"-"`     // sent as it is, since it need not be valid UTF-8
	Route        string        `json:"route"` // name under which call times are recorded
	Services     []ServiceName `json:"services"`
	Attempts     int           `json:"attempts"`
	TopK         int           `json:"top_k"`
	TargetUS     int64         `json:"target_us"` // the route's Target, in microseconds
	CloseUS      int64         `json:"close_us"`  // time until the first result is due, in microseconds
	FirstService ServiceName   `json:"set"`       // service of the query's first shard, by which load-shedding state is kept
	MinRatio     float64       `json:"min_ratio"` // smallest share of the task's shards that suffices
	// Queries is 1 and the number of queries over these shards that the delegating host has
	// rejected since its last admitted one: all of them count as requests.
	Queries  int       `json:"queries"`
	Deadline time.Time `json:"-"` // sent as remaining time
}

// TaskRequest is the caller's request of a query. The tasks of the query share it, and its
// bytes are not copied when they are sent.
type TaskRequest struct {
	ID          RequestID
	Method      string
	URI         string
	Host        string
	Header      Header
	Body        []byte
	encodedHead []byte
}

// lineEnd ends each of the four lines before the header fields in an encoded head. None of
// them can contain it, since callers send them in lines of their own.
const lineEnd = "\r\n"

// HeadBytes returns the size of the encoded head.
func (r *TaskRequest) HeadBytes() int {
	return len(r.ID) + len(r.Method) + len(r.URI) + len(r.Host) + 4*len(lineEnd) + len(r.Header)
}

// EncodeHead returns all but the body, encoded. Only its first call does the work; it must not
// run beside another one.
func (r *TaskRequest) EncodeHead() []byte {
	if r.encodedHead != nil {
		return r.encodedHead
	}
	b := make([]byte, 0, r.HeadBytes())
	for _, line := range []string{string(r.ID), r.Method, r.URI, r.Host} {
		b = append(b, line...)
		b = append(b, lineEnd...)
	}
	r.encodedHead = append(b, r.Header...)
	return r.encodedHead
}

// DecodeTaskRequest returns the request with an encoded head and a body. The result refers to
// both.
func DecodeTaskRequest(head, body []byte) (*TaskRequest, error) {
	rest := head
	var lines [4]string
	for i := range lines {
		line, after, ok := bytes.Cut(rest, []byte(lineEnd))
		if !ok {
			return nil, errors.New("core: head of a task is cut off")
		}
		lines[i], rest = string(line), after
	}
	return &TaskRequest{
		ID: RequestID(lines[0]), Method: lines[1], URI: lines[2], Host: lines[3],
		Header: Header(rest), Body: body, encodedHead: head,
	}, nil
}

// TaskPart identifies a shard whose records are in a result. It has only the stamp
// of the shard's answer, since the records of all parts of a result are merged.
type TaskPart struct {
	Shard int    `json:"shard"` // index in the task
	Stamp string `json:"stamp"`
}

// TaskResult holds parts of a task. A host sends the first result when all shards
// are decided or after CloseUS, and further ones for parts that arrive later.
type TaskResult struct {
	Parts             []TaskPart `json:"parts"`
	Records           []byte     `json:"records"` // greatest first
	Overloaded        int        `json:"crowded"` // shards whose replicas were at capacity
	OverloadedMissing int        `json:"lacking"` // those among them that are still missing
	AdmitShare        float64    `json:"room"`    // share of queries over these shards that the host would admit
	SlotsInUse        float64    `json:"in_use"`  // share of the slots of the shards' replicas, see demand.Meter.InUse
	// NotRun lists the shards that no replica has run and none will, by index in the task. It is
	// sent at the end of the task.
	NotRun []int `json:"not_run,omitempty"`
}

// TaskBatch is a host and the shards, by index in the query, whose replicas it
// calls.
type TaskBatch struct {
	Host   Host
	Shards []int
}

// TaskClient delegates parts of a query to other hosts.
type TaskClient interface {
	// Plan divides a query among hosts. This host itself calls the replicas of the
	// shards that are in no batch. If divide is set, each shard goes to its owner.
	Plan(now time.Time, services []ServiceName, divide bool) []TaskBatch
	// Run sends a task to a host. It calls sink for each result and returns when
	// the task has ended. A *CallError states whether the host may have started it.
	Run(ctx context.Context, h Host, t Task, sink func(TaskResult)) error
}

// TaskRunner executes the tasks of other hosts.
type TaskRunner interface {
	// Execute calls sink with the available parts when the task is complete or
	// CloseUS has passed, and with each part that arrives later.
	Execute(ctx context.Context, t Task, sink func(TaskResult)) error
}
