package core

// Header is a list of header fields as they are sent. All calls for a request share it.
type Header []byte

// Append returns the list with one more field.
func (h Header) Append(name, value string) Header {
	h = append(h, name...)
	h = append(h, ": "...)
	h = append(h, value...)
	return append(h, "\r\n"...)
}
