package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"oriolebarrow/platform/fake"
)

// oddEntries change an entry that names a replica of the service for orders, at an address
// without a listener, into one that names no replica.
var oddEntries = map[string]func(entry map[string]any){
	"nested_field":       func(e map[string]any) { e["backend"] = json.RawMessage(nested(9_000)) },
	"missing_field":      func(e map[string]any) { delete(e, "sequence") },
	"other_type":         func(e map[string]any) { e["version"] = 1 },
	"number_too_large":   func(e map[string]any) { e["concurrency_limit"] = json.RawMessage("9223372036854775807") },
	"port_out_of_range":  func(e map[string]any) { e["address"] = "127.0.0.250:65536" },
	"unknown_state":      func(e map[string]any) { e["state"] = "odd" },
	"warm_up_too_long":   func(e map[string]any) { e["warmup_left_ms"] = json.RawMessage("1e300") },
	"very_long_service":  func(e map[string]any) { e["backend"] = strings.Repeat("orders", 50_000) },
	"nested_other_field": func(e map[string]any) { e["x"] = json.RawMessage(nested(9_000)); e["zone"] = nil },
}

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// oddEntryTarget returns a target of disturbances in which another writer puts an entry among
// those of the replicas.
func oddEntryTarget(s *fake.Store) target {
	var kinds []string
	for kind := range oddEntries {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	key := func(kind string) string { return "servers/odd-" + kind }
	return target{
		name:   "other writer",
		faults: kinds,
		set: func(kind string) {
			entry := map[string]any{
				"backend": "orders", "address": "127.0.0.250:81", "zone": "mixco", "version": "v1",
				"concurrency_limit": 8, "state": "ready", "warmup_left_ms": 0, "sequence": 1,
			}
			oddEntries[kind](entry)
			text, err := json.Marshal(entry)
			if err != nil {
				panic(fmt.Sprintf("encode entry: %v", err)) // unexpected: the entries are built here
			}
			s.PutRaw(key(kind), string(text))
		},
		clear: func() {}, // the entries stay until the end of the run
	}
}
