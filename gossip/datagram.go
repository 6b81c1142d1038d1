package gossip

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
)

// Load is an agent's report on the endpoint beside it. Like Datagram it is
// encoded as an array to save bytes: leaders send one for each rank several
// times a second.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the endpoint's address.
	Endpoint string
	// Running and Queued are numbers of requests.
	Running, Queued int
	Group           string
	Rank            int
	// GroupReady is false while the group cannot run steps.
	GroupReady bool
	// Slowdown is the ratio of the endpoint's actual to its expected time for the
	// same work; above 1 the endpoint is slower than expected.
	Slowdown float32
	// PassTime is the duration of recent passes, and PassElapsed the time since
	// the current pass began, both in milliseconds.
	PassTime, PassElapsed int64
}

// Datagram is one message between processes.
type Datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// TableVersions is the latest change in the sender's copy of each table.
	TableVersions map[string]follow.Position
	Loads         []Load
	// LeadsGroup is the group that the sender leads, or empty. Rank is the sender's
	// rank.
	LeadsGroup string
	Rank       int
	// ExpertDemand is the demand of the running requests of the sender's endpoint
	// for each expert, by layer and expert.
	ExpertDemand PackedCounts
	// Sequence identifies a broadcast of the sender, which a receiver may get more
	// than once. It is zero for datagrams that are not broadcast.
	Sequence uint64
}

// The audience of a datagram, in its first byte.
const (
	// forReceiver marks a datagram for its receiver only.
	forReceiver = 1
	// forDomain marks a datagram for all entry nodes of the receiver's failure
	// domain. The receiver relays it to them.
	forDomain = 2
	// noteForReceiver and noteForDomain mark datagrams whose remaining bytes are a note,
	// with the same audiences.
	noteForReceiver = 3
	noteForDomain   = 4
	// confirmationForReceiver and confirmationForDomain mark datagrams whose remaining
	// bytes are a follow.Confirmation, with the same audiences.
	confirmationForReceiver = 5
	confirmationForDomain   = 6
)

// encode returns the encoded datagram, with the audience as its first byte.
func (d Datagram) encode(audience byte) ([]byte, error) {
	body, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append([]byte{audience}, body...), nil
}

// decodeDatagram is the inverse of encode.
func decodeDatagram(data []byte) (d Datagram, audience byte, err error) {
	if len(data) == 0 {
		return d, 0, errors.WithStack(&DatagramError{Size: 0})
	}
	if data[0] != forReceiver && data[0] != forDomain {
		return d, 0, errors.WithStack(&DatagramError{Size: len(data), First: data[0]})
	}
	return d, data[0], errors.WithStack(cbor.Unmarshal(data[1:], &d))
}

// DatagramError reports a received datagram with an invalid first byte.
type DatagramError struct {
	// Size is the datagram's length in bytes, and First its first byte.
	Size  int
	First byte
}

// Error implements error.
func (e *DatagramError) Error() string {
	return fmt.Sprintf("invalid datagram: %d bytes, first byte %d", e.Size, e.First)
}

// PackedCounts holds counts quantized to four bits each, so that the reports of
// all ranks of a group fit the network link of their leader's VM. It stores the
// square roots of the counts in fifteenths of the largest square root. The standard
// deviation of a count is about its square root, and so the quantization error has
// the same proportion to the noise for small and for large counts.
type PackedCounts struct {
	_ struct{} `cbor:",toarray"`
	// Max is the largest count, and N the number of counts.
	Max uint32
	N   int
	// Bits holds two counts in each byte, the first one in the lower bits.
	Bits []byte
}

// maxPacked is the largest value of four bits.
const maxPacked = 15

// PackCounts quantizes counts.
func PackCounts(counts []uint32) PackedCounts {
	p := PackedCounts{N: len(counts), Bits: make([]byte, (len(counts)+1)/2)}
	for _, n := range counts {
		p.Max = max(p.Max, n)
	}
	if p.Max == 0 {
		return p
	}
	scale := maxPacked / math.Sqrt(float64(p.Max))
	for i, n := range counts {
		p.Bits[i/2] |= byte(math.Round(scale*math.Sqrt(float64(n)))) << (i % 2 * 4)
	}
	return p
}

// Counts returns the counts, or nil if N does not match the length of Bits.
func (p PackedCounts) Counts() []uint32 {
	if p.N <= 0 || len(p.Bits) != (p.N+1)/2 {
		return nil
	}
	var values [maxPacked + 1]uint32
	for v := range values {
		part := float64(v) / maxPacked
		values[v] = uint32(math.Round(part * part * float64(p.Max)))
	}
	counts := make([]uint32, p.N)
	for i := range counts {
		counts[i] = values[p.Bits[i/2]>>(i%2*4)&maxPacked]
	}
	return counts
}
