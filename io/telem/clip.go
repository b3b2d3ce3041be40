package telem

import "strings"

// maxClippedBytes is longer than the IDs of proper requests.
const maxClippedBytes = 128

// Clip returns the beginning of a text that a caller chose. A log line may wait for the reader
// of the log, so it must not hold a long text; the copy lets go of the rest.
func Clip(text string) string {
	if len(text) <= maxClippedBytes {
		return text
	}
	return strings.Clone(text[:maxClippedBytes])
}
