package rpc

import (
	"bytes"
	"compress/gzip"
	"errors"
	"testing"
)

func compressed(t *testing.T, raw []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Compressed messages are bounded by what they stand for, over all that are decoded at the same time.
func TestExpandedMessagesAreBoundedTogether(t *testing.T) {
	l := newByteLimit(1000)
	message := bytes.Repeat([]byte("x"), 600)
	first, release, err := l.expand(compressed(t, message))
	if err != nil || !bytes.Equal(first, message) {
		t.Fatalf("first message: got %d bytes, error %v, want %d", len(first), err, len(message))
	}
	if _, release, err := l.expand(compressed(t, message)); !errors.Is(err, errExpanded) {
		t.Errorf("second message beside the first: got error %v, want %v", err, errExpanded)
	} else {
		release()
	}
	release()
	if _, release, err = l.expand(compressed(t, message)); err != nil {
		t.Errorf("second message after the first: got error %v, want none", err)
	}
	release()
	if held := l.held.Load(); held != 0 {
		t.Errorf("held after all messages: got %d bytes, want none", held)
	}
}

// A message that does not have the size that its end states is not read.
func TestMessageOfAnotherSizeThanStatedIsRefused(t *testing.T) {
	whole := compressed(t, bytes.Repeat([]byte("x"), 600))
	for name, change := range map[string]func(raw []byte) []byte{
		"states less": func(raw []byte) []byte { raw[len(raw)-4], raw[len(raw)-3] = 1, 0; return raw },
		"states more": func(raw []byte) []byte { raw[len(raw)-3]++; return raw },
		"cut":         func(raw []byte) []byte { return raw[:len(raw)-1] },
		"two members": func(raw []byte) []byte { return append(raw, raw...) },
		"short":       func(raw []byte) []byte { return raw[:3] },
	} {
		l := newByteLimit(maxReadBytes)
		_, release, err := l.expand(change(bytes.Clone(whole)))
		release()
		if err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
