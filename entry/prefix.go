package entry

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
)

const (
	// blockBytes is the size of the engines' prompt blocks, in bytes.
	blockBytes = 64
	// maxPrefixes bounds the prompt prefixes that a probe asks for.
	maxPrefixes = 16
)

// prefixes returns the prompt's prefixes up to each message, in whole blocks
// and longest first, with the hashes of the engines' cache events. It also
// returns the length of the whole prompt in blocks.
func prefixes(body chatBody) ([]dispatch.Prefix, int) {
	var prompt []byte
	var ends []int
	for _, m := range body.Messages {
		prompt = append(prompt, m.Role+":"+contentOf(m.Content)+"\n"...)
		ends = append(ends, len(prompt)/blockBytes)
	}
	return prefixesAt(prompt, ends), (len(prompt) + blockBytes - 1) / blockBytes
}

// contentOf returns a message's text; content that is no string stands for
// itself.
func contentOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

// prefixesAt hashes prompt up to each of ends, counted in blocks.
func prefixesAt(prompt []byte, ends []int) []dispatch.Prefix {
	h := fnv.New64a()
	var found []dispatch.Prefix
	done := 0
	for _, end := range ends {
		if end == done {
			continue
		}
		_, _ = h.Write(prompt[done*blockBytes : end*blockBytes])
		done = end
		found = append(found, dispatch.Prefix{Hash: h.Sum64(), Blocks: end})
	}
	slices.Reverse(found)
	return bounded(found)
}

// bounded keeps the longest prefixes and the two shortest ones, which many
// requests share.
func bounded(found []dispatch.Prefix) []dispatch.Prefix {
	if len(found) <= maxPrefixes {
		return found
	}
	const shared = 2
	kept := slices.Clone(found[:maxPrefixes-shared])
	return append(kept, found[len(found)-shared:]...)
}
