package core_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestTaskRequest guards against a part of a caller's request that another host gets changed,
// also if it is not valid UTF-8.
func TestTaskRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string {
			return string(slices.DeleteFunc(b, func(c byte) bool { return c == '\r' || c == '\n' }))
		})
		want := &core.TaskRequest{
			ID: core.RequestID(line.Draw(t, "id")), Method: "GET", URI: line.Draw(t, "uri"), Host: line.Draw(t, "host"),
			Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		for _, name := range rapid.SliceOf(rapid.StringMatching("[A-Z][a-z]{0,5}")).Draw(t, "names") {
			want.Header = want.Header.Append(name, line.Draw(t, "value"))
		}
		head := want.EncodeHead()
		if len(head) != want.HeadBytes() {
			t.Fatalf("the head has %d bytes, HeadBytes is %d", len(head), want.HeadBytes())
		}
		got, err := core.DecodeTaskRequest(head, want.Body)
		if err != nil {
			t.Fatal(err)
		}
		if got.ID != want.ID || got.Method != want.Method || got.URI != want.URI || got.Host != want.Host ||
			!bytes.Equal(got.Header, want.Header) || !bytes.Equal(got.Body, want.Body) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		for n := range len(head) - len(want.Header) {
			if _, err := core.DecodeTaskRequest(head[:n], nil); err == nil {
				t.Fatalf("the first %d bytes of %q were accepted", n, head)
			}
		}
	})
}
