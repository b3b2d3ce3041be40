package core

import (
	"context"
	"time"
)

// Task is the part of a query over many shards that another host carries out.
type Task struct {
	ID       RequestID     `json:"id"`
	Route    string        `json:"route"` // for what is learnt of its calls
	Method   string        `json:"method"`
	URI      string        `json:"uri"`
	Host     string        `json:"host"`
	Fields   []Field       `json:"fields,omitempty"`
	Body     []byte        `json:"body,omitempty"`
	Services []ServiceName `json:"services"`
	Attempts int           `json:"attempts"`
	TopK     int           `json:"top_k"`
	TargetUS int64         `json:"target_us"` // of the route, in microseconds
	CloseUS  int64         `json:"close_us"`  // until what is there is wanted, in microseconds
	Set      ServiceName   `json:"set"`       // first shard of the query
	MinRatio float64       `json:"min_ratio"` // of the shards that must be in
	Deadline time.Time     `json:"-"`         // travels as remaining time
}

// TaskPart is the part of one shard: its stamp. The records of all parts of a
// result are merged.
type TaskPart struct {
	Shard int    `json:"shard"` // index in the task
	Stamp string `json:"stamp"`
}

// TaskResult is what a host found so far. A task brings one result when all parts
// are in or its time to close has come, and further ones with what came later.
type TaskResult struct {
	Parts   []TaskPart `json:"parts"`
	Records []byte     `json:"records"` // greatest first
	Crowded int        `json:"crowded"` // shards whose replicas had no room
	Lacking int        `json:"lacking"` // those of them that are not in
	Room    float64    `json:"room"`    // share of the queries that the host has room for
}

// TaskBatch is a host and the shards, by index in the query, that it calls.
type TaskBatch struct {
	Host   Host
	Shards []int
}

// Helpers lets other hosts carry out parts of a query.
type Helpers interface {
	// Plan divides a query among hosts; it is empty if this host is to call the
	// replicas itself.
	Plan(now time.Time, services []ServiceName) []TaskBatch
	// Run has a host carry out a task. It calls sink for each result and returns
	// when the task ended. A *CallError tells whether anything may have run.
	Run(ctx context.Context, h Host, t Task, sink func(TaskResult)) error
}

// TaskRunner carries out the tasks of other hosts.
type TaskRunner interface {
	// Assist calls sink with what is there when the task is complete or its time
	// to close has come, and with what comes later.
	Assist(ctx context.Context, t Task, sink func(TaskResult)) error
}
