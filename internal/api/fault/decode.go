package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// DecodeJSON decodes a single JSON value into the target. It rejects fields that the target does not have; the returned
// fault names the field if the decoder reports it.
func DecodeJSON(raw []byte, into any) *Fault {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return New(BadJSON, fieldOf(err), "%v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return New(BadJSON, "", "more than one JSON value")
	}
	return nil
}

// fieldOf returns the name of the field that a decoding error refers to, or "" if the error names none.
func fieldOf(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return mismatch.Field
	}
	if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
		return strings.Trim(name, `"`)
	}
	return ""
}
