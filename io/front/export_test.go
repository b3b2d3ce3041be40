package front

import "net/http"

// CallerKey is caller, for tests.
func CallerKey(r *http.Request) string { return caller(r) }
