package entry

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
)

const (
	// blockBytes is the size of the prompt blocks that the engines cache.
	blockBytes = 64
	// maxPrefixes bounds the prompt prefixes in a probe.
	maxPrefixes = 16
)

// prefixes returns the prompt's prefixes up to the end of each message, in
// whole blocks, longest first. Their hashes are the same as in the engines'
// cache events. The second result is the length of the prompt in blocks,
// rounded up.
func prefixes(body chatBody) ([]dispatch.Prefix, int) {
	var prompt []byte
	var ends []int
	for _, m := range body.Messages {
		prompt = append(prompt, m.Role+":"+contentText(m.Content)+"\n"...)
		ends = append(ends, len(prompt)/blockBytes)
	}
	return hashPrefixes(prompt, ends), (len(prompt) + blockBytes - 1) / blockBytes
}

// contentText returns a message's text. Content that is not a string is
// returned as JSON.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

// hashPrefixes returns the prefixes of prompt up to each of ends, in blocks,
// with their hashes.
func hashPrefixes(prompt []byte, ends []int) []dispatch.Prefix {
	h := fnv.New64a()
	var found []dispatch.Prefix
	hashed := 0
	for _, end := range ends {
		if end == hashed {
			continue
		}
		_, _ = h.Write(prompt[hashed*blockBytes : end*blockBytes])
		hashed = end
		found = append(found, dispatch.Prefix{Hash: h.Sum64(), Blocks: end})
	}
	slices.Reverse(found)
	return limitPrefixes(found)
}

// limitPrefixes reduces the prefixes to maxPrefixes: the longest ones, and the
// two shortest, which many requests have in common.
func limitPrefixes(found []dispatch.Prefix) []dispatch.Prefix {
	if len(found) <= maxPrefixes {
		return found
	}
	const shortest = 2
	kept := slices.Clone(found[:maxPrefixes-shortest])
	return append(kept, found[len(found)-shortest:]...)
}
