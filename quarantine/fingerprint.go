package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"strconv"
)

// Fingerprint identifies a request's content within the deployment, as 32
// hexadecimal digits. Equal contents have equal fingerprints, and it is not
// feasible to construct a collision.
type Fingerprint string

// fingerprintBytes is the length of the truncated hash.
const fingerprintBytes = 16

// Content is the part of a request that determines its fingerprint.
type Content struct {
	Organisation string
	// Model is set for an engine; Service, Method and Path for a plain service.
	Model   string
	Service string
	Method  string
	Path    string
	Body    []byte
	// Rest holds the further pieces of a body that is not in one piece.
	Rest [][]byte
}

// FingerprintOf returns the fingerprint of a content.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	for _, s := range []string{c.Organisation, c.Model, c.Service, c.Method, c.Path} {
		// The length makes the boundaries between fields unambiguous.
		io.WriteString(h, strconv.Itoa(len(s))+":"+s)
	}
	c.writeBody(h)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// maxNormalisedBytes is the length from which a body counts as it is. Decoding JSON takes
// up to fifty times the memory of its text.
const maxNormalisedBytes = 128 << 10

// writeBody writes the body in the form that counts.
func (c *Content) writeBody(h io.Writer) {
	body, size := c.Body, len(c.Body)
	for _, piece := range c.Rest {
		size += len(piece)
	}
	if size <= maxNormalisedBytes {
		if len(c.Rest) > 0 {
			body = slices.Concat(append([][]byte{c.Body}, c.Rest...)...)
		}
		// A hash never returns an error.
		_, _ = h.Write(normalise(body))
		return
	}
	_, _ = h.Write(body)
	for _, piece := range c.Rest {
		_, _ = h.Write(piece)
	}
}

// partFingerprint returns the fingerprint of a part of a prompt. It does not depend on the
// organisation: a part crashes an engine whoever sends it.
func partFingerprint(c Content, id string) Fingerprint {
	return FingerprintOf(Content{Model: c.Model, Service: c.Service, Method: "prompt part", Body: []byte(id)})
}

// volatileFields are the top-level fields of a generation request that do not
// affect what the engine computes. A caller may change them between repetitions.
var volatileFields = []string{"stream", "stream_options", "user", "metadata", "store"}

// normalise returns a form of the body that does not depend on white space, the
// order of keys or volatile fields. A body that is not a single JSON object is
// returned unchanged.
func normalise(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	// Numbers keep their text, so that large numbers stay distinct.
	d.UseNumber()
	var object map[string]any
	if d.Decode(&object) != nil || object == nil {
		return body
	}
	if _, err := d.Token(); err != io.EOF {
		return body
	}
	for _, f := range volatileFields {
		delete(object, f)
	}
	out, err := json.Marshal(object)
	if err != nil {
		return body
	}
	return out
}
