package trace_test

import (
	"errors"
	"strings"
	"testing"

	"oriolebarrow/io/trace"
)

const (
	entryLog = `
-3.1 villa-2 {"time":"2026-12-04T10:00:00.000Z","level":"INFO","msg":"node: host starts","host":"host-2"}
-2.0 villa-2 {"time":"2026-12-04T10:00:05.000Z","level":"WARN","msg":"relay: replica ejected","replica":"i-1","service":"s1","request":"other"}
-1.9 villa-2 {"time":"2026-12-04T10:00:05.100Z","level":"WARN","msg":"relay: replica ejected","replica":"i-9","service":"s9","request":"other"}
not a line of the program
-1.0 villa-2 {"time":"2026-12-04T10:00:06.050Z","level":"INFO","msg":"relay: parts are open at the closing time","request":"r1","at_us":39000,"missed":"s1=busy/i-1/i-2 s2"}
-1.0 villa-2 {"time":"2026-12-04T10:00:06.050Z","level":"INFO","msg":"relay: answered","request":"r1","status":200,"missing":2,"took_us":40000,"missed":"s1=busy/i-1/i-2 s2"}
-0.9 villa-2 {"time":"2026-12-04T10:00:06.060Z","level":"INFO","msg":"relay: answered","request":"r2","status":200,"took_us":40000}
-0.8 villa-2 {"time":"2026-12-04T10:00:09.000Z","level":"INFO","msg":"relay: replica is back","replica":"i-1","service":"s1"}
`
	delegateLog = `time=2026-12-04T10:00:06.055Z level=INFO msg="relay: hedge sent" request=r1 at_us=9000 service=s2 replica=i-7 cause=""
time=2026-12-04T10:00:06.055Z level=INFO msg="relay: task ended" request=r1 shards=3 took_us=45000 missed="s2/i-6/i-7"
time=2026-12-04T10:00:06.020Z level=INFO msg="mirror: entry removed" replica=i-7 service=s2
`
)

// Guards against output that lacks a host, that is in the order of the log lines
// instead of the events, or that contains changes of state which can't have affected
// the request.
func TestQueryOverTwoLogs(t *testing.T) {
	tr := trace.New("r1", trace.Options{})
	for name, log := range map[string]string{"entry.log": entryLog, "helper.log": delegateLog} {
		if err := tr.Read(name, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := tr.Write(&out); err != nil {
		t.Fatal(err)
	}
	at := 0
	for _, want := range []string{
		"request r1",
		"* ", "host-2", "relay: replica ejected replica=i-1",
		"helper.log", "relay: hedge sent service=s2 replica=i-7", // logged 36 ms after the event
		"* ", "mirror: entry removed",
		"host-2", "relay: parts are open",
		"host-2", "relay: answered status=200 missing=2",
		"helper.log", "relay: task ended",
	} {
		i := strings.Index(out.String()[at:], want)
		if i < 0 {
			t.Fatalf("no %q after byte %d of\n%s", want, at, out.String())
		}
		at += i + len(want)
	}
	for _, unwanted := range []string{"i-9", "r2", "host starts", "is back", "level="} {
		if strings.Contains(out.String(), unwanted) {
			t.Errorf("unexpected %q in\n%s", unwanted, out.String())
		}
	}
}

// Guards against output without an error for a request that no log mentions.
func TestUnknownRequest(t *testing.T) {
	tr := trace.New("r3", trace.Options{})
	if err := tr.Read("entry.log", strings.NewReader(entryLog)); err != nil {
		t.Fatal(err)
	}
	if err := tr.Write(&strings.Builder{}); !errors.Is(err, trace.ErrUnknown) {
		t.Errorf("error %v", err)
	}
}

// Guards against an operator's log file that makes the program panic.
func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(delegateLog)
	f.Add(`{"time":"x"}{"time":`)
	f.Add(`time= msg="`)
	f.Fuzz(func(t *testing.T, log string) {
		tr := trace.New("r1", trace.Options{})
		if err := tr.Read("a", strings.NewReader(log)); err != nil {
			t.Skip(err)
		}
		_ = tr.Write(&strings.Builder{}) // ErrUnknown is allowed here
	})
}
