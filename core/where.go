package core

import "time"

// Where is what a host would do with a request, as the command where prints it.
type Where struct {
	Host           HostID         `json:"host"`
	Route          string         `json:"route"`
	RoutingVersion uint64         `json:"routing_version"`
	DirectoryAgeMS int64          `json:"directory_age_ms"`
	Estimate       WhereEstimate  `json:"estimate"`
	Admission      WhereAdmission `json:"admission"`
	Services       []WhereService `json:"services"`
}

// WhereEstimate is the expected work of each call of the request.
type WhereEstimate struct {
	UsualUS int64  `json:"usual_us"`
	LateUS  int64  `json:"late_us"` // when a call is hedged
	Basis   string `json:"basis"`
}

// WhereAdmission is what admission control would say.
type WhereAdmission struct {
	Admitted     bool   `json:"admitted"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	SharePct     int    `json:"share_pct"`
	ChancePct    int    `json:"chance_pct"`
}

// WhereService is a shard of the request, or a service of which one gets it.
type WhereService struct {
	Service    ServiceName `json:"service"`
	Owner      HostID      `json:"owner"`            // the host that makes the calls
	Next       bool        `json:"next"`             // whether the next request goes there; true for a shard
	Weight     int         `json:"weight,omitempty"` // of a service of a split
	Waiting    int         `json:"waiting"`          // calls at this host that wait for a free slot before this one
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a replica as the host that was asked sees it.
type Candidate struct {
	ID           InstanceID `json:"id"`
	DataCentre   DataCentre `json:"data_centre"`
	Order        int        `json:"order"`            // from 1; 0 if it can't get the request now
	Reason       string     `json:"reason,omitempty"` // if Order is 0
	CostUS       int64      `json:"cost_us"`          // expected time until the answer, with penalties
	QueuedUS     int64      `json:"queued_us"`        // remaining work of its calls, divided by the slots
	Running      int        `json:"running"`          // calls of this host
	ReportedBusy int        `json:"reported_busy"`    // calls of all hosts, as last reported
	LoadAgeMS    int64      `json:"load_age_ms"`      // of the report; -1 without one
	CallAgeMS    int64      `json:"call_age_ms"`      // since the last call that says something about it
	Slots        int        `json:"slots"`
	Slowness     float64    `json:"slowness"`
	FailureShare float64    `json:"failure_share"`
	Local        bool       `json:"local"`
	InSubset     bool       `json:"in_subset"`
	Cold         bool       `json:"cold"`
	Evacuated    bool       `json:"evacuated"`
}

// TaskPreviewer is a TaskClient that can also tell what Plan would return, without effect on
// later plans.
type TaskPreviewer interface {
	Preview(now time.Time, services []ServiceName, divide bool) []TaskBatch
}
