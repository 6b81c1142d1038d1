package gossip

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Load is what the agent beside an endpoint reports of it. Like Datagram it
// travels as an array, as leaders send one of each rank several times a second.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the endpoint's address.
	Endpoint string
	// Running and Queued count requests.
	Running, Queued int
	Group           string
	Rank            int
	// Open is false while the group cannot step.
	Open bool
	// Pace is above 1 for an endpoint that is slower than it should be.
	Pace float32
	// PassTime is the time of a pass of late, PassElapsed how long the pass under way has
	// taken, both in milliseconds.
	PassTime, PassElapsed int64
}

// Datagram is one message between processes.
type Datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// TableVersions is, by table, the version of the newest change that the sender
	// knows.
	TableVersions map[string]uint64
	Loads         []Load
	// LeadsGroup is the group that the sender leads, or empty, and Rank its rank.
	LeadsGroup string
	Rank       int
	// ExpertDemand is what the running requests of the sender's endpoint ask of each
	// expert, by layer and expert.
	ExpertDemand PackedCounts
	// Sequence tells apart what one sender spreads, which comes by several ways; zero
	// for what comes by one.
	Sequence uint64
}

// The first byte of a datagram says who it is for.
const (
	// forOne is for its receiver only.
	forOne = 1
	// forDomain is for all entry nodes of the receiver's failure domain; the
	// receiver sends it on to them.
	forDomain = 2
)

// encode returns the datagram with its first byte.
func (d Datagram) encode(who byte) ([]byte, error) {
	body, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append([]byte{who}, body...), nil
}

// decodeDatagram is the inverse of encode.
func decodeDatagram(data []byte) (d Datagram, who byte, err error) {
	if len(data) == 0 {
		return d, 0, errors.WithStack(&DatagramError{Size: 0})
	}
	if data[0] != forOne && data[0] != forDomain {
		return d, 0, errors.WithStack(&DatagramError{Size: len(data), First: data[0]})
	}
	return d, data[0], errors.WithStack(cbor.Unmarshal(data[1:], &d))
}

// DatagramError says that what came is no datagram of a peer.
type DatagramError struct {
	// Size is its length and First its first byte.
	Size  int
	First byte
}

// Error implements error.
func (e *DatagramError) Error() string {
	return fmt.Sprintf("%d bytes that begin with %d are no datagram of a peer", e.Size, e.First)
}

// PackedCounts are counts in four bits each, so that the reports of all ranks of
// a group fit through the link of the VM on which their leader runs. The square
// root of a count is kept to one part in fifteen of the largest one's: as the
// scatter of a count is its square root, all counts lose equally little.
type PackedCounts struct {
	_ struct{} `cbor:",toarray"`
	// Max is the largest count, N their number.
	Max  uint32
	N    int
	Bits []byte
}

// packedMost is the largest number of four bits.
const packedMost = 15

// PackCounts packs counts.
func PackCounts(counts []uint32) PackedCounts {
	p := PackedCounts{N: len(counts), Bits: make([]byte, (len(counts)+1)/2)}
	for _, n := range counts {
		p.Max = max(p.Max, n)
	}
	if p.Max == 0 {
		return p
	}
	scale := packedMost / math.Sqrt(float64(p.Max))
	for i, n := range counts {
		p.Bits[i/2] |= byte(math.Round(scale*math.Sqrt(float64(n)))) << (i % 2 * 4)
	}
	return p
}

// Counts returns the counts, or nil if the pack does not fit together.
func (p PackedCounts) Counts() []uint32 {
	if p.N <= 0 || len(p.Bits) != (p.N+1)/2 {
		return nil
	}
	var values [packedMost + 1]uint32
	for v := range values {
		part := float64(v) / packedMost
		values[v] = uint32(math.Round(part * part * float64(p.Max)))
	}
	counts := make([]uint32, p.N)
	for i := range counts {
		counts[i] = values[p.Bits[i/2]>>(i%2*4)&packedMost]
	}
	return counts
}
